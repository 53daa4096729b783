package org.basilrill.coordination.routing;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.MonotonicClock;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Tracks the slots this instance holds at one incarnation of a target, and the target's health as seen from here.
 *
 * <p>Invariant: the slots held here never exceed the announced slots, and each acquired slot is given back exactly
 * once. The announced load lags and includes the other instances' requests; between two reports this instance takes
 * only its part of what looked free. Thread safe: guards itself.
 */
public final class TargetState {
    private static final double NANOS_PER_MILLI = 1e6;

    private final MonotonicClock clock;
    private final RoutingOptions options;
    private final long incarnation;
    private final EjectionState ejection;

    private final UnansweredRequests unanswered = new UnansweredRequests();
    private double lastWaitNanos;
    private long lastAnswerNanos;
    private int held;
    private long reportSequence = Long.MIN_VALUE;
    private long reportNanos;
    private int limit;
    private double othersAtReport;
    private int slots;
    private long pendingTokens;
    private long toldNanos;
    private double othersTold;
    private double waitingTold;
    private boolean full;
    private long fullUntilNanos;

    TargetState(MonotonicClock clock, RoutingOptions options, long incarnation) {
        this.clock = clock;
        this.options = options;
        this.incarnation = incarnation;
        this.ejection = new EjectionState(options);
    }

    long incarnation() {
        return incarnation;
    }

    synchronized int held() {
        return held;
    }

    synchronized boolean isEjected() {
        return !ejection.mayStart(clock.nanos());
    }

    /** Returns whether a new state would serve as well as this one. */
    synchronized boolean isForgettable() {
        return held == 0 && ejection.isSpotless();
    }

    /** Takes a newer announcement into account; an older one has no effect. */
    synchronized void observe(TargetAnnouncement announcement, int instances) {
        if (announcement.incarnation() != incarnation || announcement.sequence() <= reportSequence) {
            return;
        }
        reportSequence = announcement.sequence();
        reportNanos = clock.nanos();
        slots = announcement.slots();
        int reported = announcement.load().running() + announcement.load().waiting();
        othersAtReport = Math.max(0, reported - held);
        full = false;
        limit = limitAfterReport(slots - reported, Math.max(1, instances));
    }

    synchronized boolean hasFreeSlot() {
        return isFree(clock.nanos());
    }

    /** Takes a slot; empty if none is free or the target is ejected. */
    synchronized Optional<HeldSlot> tryAcquire(TargetAnnouncement announcement, long tokensToRead) {
        if (!isFree(clock.nanos())) {
            return Optional.empty();
        }
        held++;
        pendingTokens += tokensToRead;
        long now = clock.nanos();
        long number = unanswered.sent(now);
        return Optional.of(new HeldSlot(announcement, this, ejection.started(), number, now, tokensToRead));
    }

    /** Notes that the answer for a slot begins. */
    synchronized void answered(HeldSlot slot) {
        long now = clock.nanos();
        pendingTokens -= slot.pendingTokens();
        unanswered.answered(slot.number());
        double reading = slot.pendingTokens() / options.tokensPerMilli() * NANOS_PER_MILLI;
        lastWaitNanos = Math.max(0, now - slot.sentNanos() - reading);
        lastAnswerNanos = now;
    }

    /** Notes that a slot is given back without an answer. */
    synchronized void abandoned(HeldSlot slot) {
        pendingTokens -= slot.pendingTokens();
        unanswered.ended(slot.number());
    }

    /**
     * Returns how long the target keeps requests from here waiting, in milliseconds: as long as the next one to be
     * answered has waited, or the last one that was answered, trusted less with age.
     */
    synchronized double waitMillis() {
        double lastWait = lastWaitNanos * decay(lastAnswerNanos);
        return Math.max(lastWait, unanswered.longestWaitNanos(clock.nanos())) / NANOS_PER_MILLI;
    }

    /** Takes the load that the target told with an answer. */
    synchronized void told(TargetAnnouncement.Load load) {
        toldNanos = clock.nanos();
        othersTold = Math.max(0, load.running() + load.waiting() - held);
        waitingTold = load.waiting();
    }

    /** Returns the prompt tokens sent from here whose answers have not begun. */
    synchronized long pendingTokens() {
        return pendingTokens;
    }

    /** Returns the requests that waited at the target when it last told, trusted less with age. */
    synchronized double waiting() {
        return waitingTold * decay(toldNanos);
    }

    /** Gives a slot back; returns how the health of the target changed. */
    synchronized HealthChange release(HeldSlot slot, SlotResult result) {
        held--;
        long now = clock.nanos();
        switch (result) {
            case SUCCEEDED:
                return ejection.succeeded(slot.probe()) ? HealthChange.RESTORED : HealthChange.NONE;
            case FAILED:
                return ejection.failed(slot.probe(), false, now) ? HealthChange.EJECTED : HealthChange.NONE;
            case TIMED_OUT:
                return ejection.failed(slot.probe(), true, now) ? HealthChange.EJECTED : HealthChange.NONE;
            case REFUSED_FULL:
                full = true;
                fullUntilNanos = now + options.fullBackOff().toNanos();
                limit = Math.max(1, Math.min(limit, held));
                ejection.endedWithoutVerdict(slot.probe());
                return HealthChange.NONE;
            default:
                ejection.endedWithoutVerdict(slot.probe());
                return HealthChange.NONE;
        }
    }

    /** Returns the load in units of a full target: the others' share, trusted less with age, and our own. */
    synchronized double load() {
        double others = Math.max(othersAtReport * decay(reportNanos), othersTold * decay(toldNanos));
        return (others + held) / Math.max(1, slots);
    }

    private double decay(long sinceNanos) {
        double age = clock.nanos() - sinceNanos;
        return Math.pow(0.5, age / options.reportHalfLife().toNanos());
    }

    synchronized Duration ejectionLength() {
        return ejection.length();
    }

    private boolean isFree(long now) {
        if (full && now - fullUntilNanos < 0) {
            return false;
        }
        return held < limit && ejection.mayStart(now);
    }

    /**
     * Returns how many slots this instance may hold until the next report. Its equal part of all slots is always
     * allowed, since otherwise the instances that hold the slots of a busy target would keep them forever.
     */
    private int limitAfterReport(int free, int instances) {
        int equalPart = Math.max(1, slots / instances);
        int allowed = free > 0
                ? held + (int) Math.max(1, Math.ceil(free * options.freeSlotsFactor() / instances))
                : held - Math.max(1, -free / instances);
        return Math.min(slots, Math.max(equalPart, allowed));
    }

    /** How a released slot changed whether the target is used. */
    enum HealthChange {
        NONE,
        EJECTED,
        RESTORED
    }
}
