package org.basilrill.coordination.routing;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.MonotonicClock;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Tracks the slots that this instance uses at one incarnation of a target, and the health of the target as observed
 * here.
 *
 * <p>Invariant: the slots in use never exceed the announced slots, and each acquired slot is released exactly once. The
 * announced load is delayed and includes the requests of the other instances; between two reports this instance uses
 * only its share of the slots that were free in the last report. Thread safe: guarded by its own lock.
 */
public final class TargetState {
    private static final double NANOS_PER_MILLI = 1e6;

    private final MonotonicClock clock;
    private final RoutingOptions options;
    private final long incarnation;
    private final EjectionState ejection;
    private final Optional<TargetTimings> timings;

    private final PendingResponses pendingResponses = new PendingResponses();
    private double lastWaitNanos;
    private long lastResponseNanos;
    private int slotsInUse;
    private long reportSequence = Long.MIN_VALUE;
    private long reportNanos;
    private int slotLimit;
    private double othersAtReport;
    private int slots;
    private long pendingTokens;
    private long responseLoadNanos;
    private double othersAtResponse;
    private double waitingAtResponse;
    private boolean refusedAsFull;
    private long backOffUntilNanos;

    /**
     * Creates the state of a target without requests.
     *
     * @param timings forecasts of its responses, which this state guards; empty if nothing is forecast
     */
    TargetState(MonotonicClock clock, RoutingOptions options, long incarnation, Optional<TargetTimings> timings) {
        this.timings = timings;
        this.clock = clock;
        this.options = options;
        this.incarnation = incarnation;
        this.ejection = new EjectionState(options);
    }

    long incarnation() {
        return incarnation;
    }

    synchronized int slotsInUse() {
        return slotsInUse;
    }

    synchronized boolean isEjected() {
        return !ejection.mayStart(clock.nanos());
    }

    /** Returns whether this state can be replaced by a new one without loss. */
    synchronized boolean isDiscardable() {
        return slotsInUse == 0 && ejection.isHealthy();
    }

    /** Applies a newer announcement; an older one is ignored. */
    synchronized void observe(TargetAnnouncement announcement, int instanceCount) {
        if (announcement.incarnation() != incarnation || announcement.sequence() <= reportSequence) {
            return;
        }
        reportSequence = announcement.sequence();
        reportNanos = clock.nanos();
        slots = announcement.slots();
        timings.ifPresent(known -> {
            known.slotsAnnounced(slots);
            known.loadAnnounced(announcement.load(), reportNanos);
        });
        int reported = announcement.load().running() + announcement.load().waiting();
        othersAtReport = Math.max(0, reported - slotsInUse);
        refusedAsFull = false;
        slotLimit = slotLimitAfterReport(slots - reported, Math.max(1, instanceCount));
    }

    /**
     * Returns whether this instance may use another slot.
     *
     * @param limit slots that this instance may use at once, besides the other limits
     */
    synchronized boolean hasFreeSlot(int limit) {
        return slotsInUse < limit && isFree(clock.nanos());
    }

    /** Acquires a slot; empty if none is free or the target is ejected. */
    synchronized Optional<AcquiredSlot> tryAcquire(
            TargetAnnouncement announcement, PromptWork work, RequestProfile profile, int limit) {
        long tokensToRead = Math.round(work.certain());
        if (!hasFreeSlot(limit)) {
            return Optional.empty();
        }
        slotsInUse++;
        pendingTokens += tokensToRead;
        long now = clock.nanos();
        long number = pendingResponses.requestSent(now);
        Optional<TargetTimings.Sent> timing = timings.map(known -> known.requestSent(work, profile, now));
        return Optional.of(new AcquiredSlot(announcement, this, ejection.started(), number, now, tokensToRead, timing));
    }

    /** Records that the response for a slot began. */
    synchronized void responseStarted(AcquiredSlot slot) {
        long now = clock.nanos();
        pendingTokens -= slot.pendingTokens();
        pendingResponses.responseStarted(slot.number());
        double prefillNanos = slot.pendingTokens() / options.prefillTokensPerMilli() * NANOS_PER_MILLI;
        lastWaitNanos = Math.max(0, now - slot.sentNanos() - prefillNanos);
        lastResponseNanos = now;
    }

    /** Records that the first event of the response for a slot was received; later calls have no effect. */
    synchronized void firstEventReceived(AcquiredSlot slot) {
        slot.timing().ifPresent(sent -> timings.orElseThrow().firstEvent(sent, clock.nanos()));
    }

    /**
     * Returns the time until the first event of a request that is sent now, plus the time by which the pause of the
     * streams there exceeds a limit. Infinite if nothing is forecast, or if the tokens do not fit into the memory.
     *
     * @param memoryTokens tokens that fit into the memory of the target
     */
    synchronized double costMillis(
            double uncachedTokens, long tokens, long memoryTokens, double pauseLimitMillis, long now) {
        TargetTimings known = timings.orElseThrow();
        return known.hasRoomFor(tokens, memoryTokens, now)
                ? known.costMillis(uncachedTokens, pauseLimitMillis, now)
                : Double.POSITIVE_INFINITY;
    }

    /** Returns the forecast for a request that is sent now. */
    synchronized ResponseForecast forecast(double uncachedTokens, long outputTokens, long now) {
        return timings.orElseThrow().forecast(uncachedTokens, outputTokens, now);
    }

    /** Returns the expected share of the slots in use, with one more request, multiplied by the present slowdown. */
    synchronized double slowedLoad(long now) {
        TargetTimings known = timings.orElseThrow();
        return (known.requests(now) + 1) / known.slots() * known.slowdown(now);
    }

    /** Records that a slot is released without a response. */
    synchronized void endedWithoutResponse(AcquiredSlot slot) {
        pendingTokens -= slot.pendingTokens();
        pendingResponses.requestEnded(slot.number());
    }

    /**
     * Returns the estimated time that a request from here waits at the target, in milliseconds. This is the larger of
     * the time for which the next expected response has been pending and the wait of the last response, which decays
     * with its age.
     */
    synchronized double waitMillis() {
        double lastWait = lastWaitNanos * decay(lastResponseNanos);
        return Math.max(lastWait, pendingResponses.longestWaitNanos(clock.nanos())) / NANOS_PER_MILLI;
    }

    /** Applies the load that the target reported with a response. */
    synchronized void observeResponseLoad(TargetAnnouncement.Load load) {
        responseLoadNanos = clock.nanos();
        othersAtResponse = Math.max(0, load.running() + load.waiting() - slotsInUse);
        waitingAtResponse = load.waiting();
        timings.ifPresent(known -> known.loadStated(load, responseLoadNanos));
    }

    /** Returns the prompt tokens sent from here whose responses have not begun. */
    synchronized long pendingTokens() {
        return pendingTokens;
    }

    /**
     * Returns the number of requests queued at the target in its last response, decayed with the age of that response.
     */
    synchronized double waiting() {
        return waitingAtResponse * decay(responseLoadNanos);
    }

    /** Releases a slot; returns how the health of the target changed. */
    synchronized HealthChange release(AcquiredSlot slot, SlotResult result) {
        slotsInUse--;
        long now = clock.nanos();
        slot.timing().ifPresent(sent -> timings.orElseThrow().ended(sent, result == SlotResult.SUCCEEDED, now));
        switch (result) {
            case SUCCEEDED:
                return ejection.succeeded(slot.probe()) ? HealthChange.RESTORED : HealthChange.NONE;
            case FAILED:
                return ejection.failed(slot.probe(), false, now) ? HealthChange.EJECTED : HealthChange.NONE;
            case TIMED_OUT:
                return ejection.failed(slot.probe(), true, now) ? HealthChange.EJECTED : HealthChange.NONE;
            case REFUSED_FULL:
                refusedAsFull = true;
                backOffUntilNanos = now + options.fullBackOff().toNanos();
                slotLimit = Math.max(1, Math.min(slotLimit, slotsInUse));
                ejection.endedInconclusively(slot.probe());
                return HealthChange.NONE;
            default:
                ejection.endedInconclusively(slot.probe());
                return HealthChange.NONE;
        }
    }

    /**
     * Returns the load as a fraction of the slots: the load of other instances, decayed with the age of its report, and
     * that of this instance.
     */
    synchronized double load() {
        double others = Math.max(othersAtReport * decay(reportNanos), othersAtResponse * decay(responseLoadNanos));
        return (others + slotsInUse) / Math.max(1, slots);
    }

    private double decay(long sinceNanos) {
        double age = clock.nanos() - sinceNanos;
        return Math.pow(0.5, age / options.reportHalfLife().toNanos());
    }

    synchronized Duration ejectionDuration() {
        return ejection.ejectionDuration();
    }

    private boolean isFree(long now) {
        if (refusedAsFull && now - backOffUntilNanos < 0) {
            return false;
        }
        return slotsInUse < slotLimit && ejection.mayStart(now);
    }

    /**
     * Returns how many slots this instance may use until the next report. Its equal share of all slots is always
     * allowed; otherwise the instances that use the slots of a busy target would keep them indefinitely.
     */
    private int slotLimitAfterReport(int free, int instanceCount) {
        int equalShare = Math.max(1, slots / instanceCount);
        int allowed = free > 0
                ? slotsInUse + (int) Math.max(1, Math.ceil(free * options.freeSlotsFactor() / instanceCount))
                : slotsInUse - Math.max(1, -free / instanceCount);
        return Math.min(slots, Math.max(equalShare, allowed));
    }

    /** Change of the health of a target by a released slot. */
    enum HealthChange {
        NONE,
        EJECTED,
        RESTORED
    }
}
