package org.basilrill.coordination.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.evacuation.EvacuationEndListener;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.AnnouncementReceiver;
import org.basilrill.state.target.ColdRemaining;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetChangeListener;
import org.basilrill.state.target.TargetDirectory;
import org.basilrill.state.target.TargetNotices;

/**
 * Knows which targets are cold, and limits the requests to them by permits from the moment this instance learns of it.
 * A cold state ends by itself when the stated time has passed, and with the incarnation; a later statement may extend
 * it, never shorten it. Thread safe: guarded by its own lock, which is taken before that of the permits.
 */
public final class ColdTargets implements TargetChangeListener, EvacuationEndListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** A malformed statement comes with each heartbeat or response of its target. */
    private static final int LOG_SECONDS = 10;
    /**
     * A state is kept for this long after its end, longer than an announcement is valid, so that an announcement that
     * is renewed unchanged does not begin a new cold state.
     */
    private static final long RETENTION_NANOS = Duration.ofMinutes(1).toNanos();

    /**
     * Time from a permit to the first byte at a cold target. Connections are accepted in a few milliseconds; requests
     * that have waited longer for one would arrive all at once when the target accepts connections again.
     */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(250);

    private final Optional<ColdLimits> limits;
    private final Function<String, Optional<Rules.ColdStart>> coldStarts;
    private final TargetDirectory targets;
    private final TargetPermits permits;
    private final MonotonicClock clock;
    private final Map<TargetKey, ColdState> states = new HashMap<>();
    private final AtomicLong malformedStatements = new AtomicLong();

    /**
     * Creates cold targets, none of which is known, and registers them with the permits.
     *
     * @param limits bound of the requests to a cold target; empty if there is none
     * @param coldStarts what the rules name for a service
     */
    public ColdTargets(
            Optional<ColdLimits> limits,
            Function<String, Optional<Rules.ColdStart>> coldStarts,
            TargetDirectory targets,
            TargetPermits permits,
            MonotonicClock clock) {
        this.limits = limits;
        this.coldStarts = coldStarts;
        this.targets = targets;
        this.permits = permits;
        this.clock = clock;
        permits.setUsable(this::isUsable);
    }

    /** Returns a receiver that also reports to the issuer what the announcements received here state. */
    public AnnouncementReceiver reporting(AnnouncementReceiver receiver) {
        return new AnnouncementReceiver() {
            @Override
            public void receiveAnnouncement(TargetAnnouncement announcement) {
                receiver.receiveAnnouncement(announcement);
                countIfMalformed(announcement.id(), announcement.coldRemainingMillis());
                if (announcement.coldRemainingMillis() > 0) {
                    permits.reportCold(TargetKey.of(announcement));
                }
            }

            @Override
            public void receiveDeregistration(TargetId target, Optional<Long> incarnation) {
                receiver.receiveDeregistration(target, incarnation);
            }
        };
    }

    @Override
    public void changed(Change change) {
        if (change.kind() != Kind.EXPIRED) {
            announced(change.announcement());
        }
    }

    /**
     * Returns whether a target may be used, with a permit if it needs one. A target that refused a connection is not
     * used before its next announcement: it may have started again, and is cold then.
     */
    private boolean isUsable(TargetAnnouncement target) {
        announced(target);
        return limits.isEmpty()
                || !target.hasUnconfirmedVersion()
                || coldStartOf(target).isEmpty();
    }

    /**
     * Returns whether a request may be sent now to a target that was chosen before. The target may have become cold or
     * started again since.
     *
     * @param hasPermit whether the request got a permit for this incarnation as that of a cold target
     * @param sinceChoice time since the target was chosen
     */
    public boolean maySend(TargetAnnouncement target, boolean hasPermit, Duration sinceChoice) {
        if (limits.isEmpty()) {
            return true;
        }
        TargetAnnouncement current = targets.target(target.id()).orElse(target);
        if (!isUsable(current)) {
            return false;
        }
        boolean inTime = hasPermit && sinceChoice.compareTo(LONGEST_WAIT) <= 0;
        return !permits.isCold(current) || current.incarnation() == target.incarnation() && inTime;
    }

    /** Applies what an announcement states, unless it or a later one of the incarnation has been applied. */
    private void announced(TargetAnnouncement announcement) {
        if (announcement.coldRemainingMillis() <= 0 || limits.isEmpty()) {
            return;
        }
        synchronized (this) {
            ColdState state = stateOf(announcement);
            if (announcement.sequence() > state.sequence) {
                state.sequence = announcement.sequence();
                state.extend(clock.nanos() + TimeUnit.MILLISECONDS.toNanos(announcement.coldRemainingMillis()));
            }
            limit(announcement, state);
        }
    }

    /** Applies what a target states in a response to this instance, and reports it to the issuer. */
    public void observe(TargetAnnouncement target, TargetNotices notices) {
        countIfMalformed(target.id(), notices.coldRemainingMillis());
        if (notices.coldRemainingMillis() > 0) {
            coldFor(target, Duration.ofMillis(notices.coldRemainingMillis()));
            permits.reportCold(TargetKey.of(target));
        }
    }

    /** Targets there may be cold without having stated it, because they had no requests during the evacuation. */
    @Override
    public void ended(String dataCentre) {
        int assumed = 0;
        for (TargetAnnouncement target : targets.targets()) {
            Optional<Rules.ColdStart> start = coldStartOf(target);
            if (target.dataCentre().equals(dataCentre) && start.isPresent()) {
                coldFor(target, start.get().duration());
                permits.reportCold(TargetKey.of(target));
                assumed++;
            }
        }
        if (assumed > 0) {
            LOGGER.atInfo().log("%s: data centre %s, %d targets", LogEvent.TARGETS_ASSUMED_COLD, dataCentre, assumed);
        }
    }

    /** Returns whether the target is known to be cold, so that each request to it needs a permit. */
    public boolean isCold(TargetAnnouncement target) {
        return permits.isCold(target);
    }

    /** Returns the number of cold targets whose requests need permits. */
    public int coldTargets() {
        return permits.coldTargets();
    }

    /** Returns how many statements could not be read. */
    public long malformedStatements() {
        return malformedStatements.get();
    }

    private void coldFor(TargetAnnouncement target, Duration remaining) {
        if (limits.isEmpty()) {
            return;
        }
        synchronized (this) {
            ColdState state = stateOf(target);
            state.extend(clock.nanos() + remaining.toNanos());
            limit(target, state);
        }
    }

    /** Limits a target as long as its state lasts; rules that were not known before apply from now on. */
    private void limit(TargetAnnouncement target, ColdState state) {
        if (state.endNanos - clock.nanos() <= 0) {
            return;
        }
        Optional<Rules.ColdStart> start = coldStartOf(target);
        if (start.isPresent() && (!state.limited || state.endNanos != state.limitedUntilNanos)) {
            state.limited = true;
            state.limitedUntilNanos = state.endNanos;
            permits.limitCold(
                    TargetKey.of(target),
                    limits.orElseThrow().permitRate(start.get().perSecond()),
                    state.endNanos);
        }
    }

    private Optional<Rules.ColdStart> coldStartOf(TargetAnnouncement target) {
        return limits.flatMap(bound -> target.service().flatMap(coldStarts).or(bound::defaultStart));
    }

    private ColdState stateOf(TargetAnnouncement target) {
        TargetKey key = TargetKey.of(target);
        ColdState known = states.get(key);
        if (known == null) {
            long now = clock.nanos();
            states.values().removeIf(state -> now - state.endNanos > RETENTION_NANOS);
            known = new ColdState(now);
            states.put(key, known);
        }
        return known;
    }

    private void countIfMalformed(TargetId target, long coldRemainingMillis) {
        if (coldRemainingMillis == ColdRemaining.MALFORMED) {
            long count = malformedStatements.incrementAndGet();
            LOGGER.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "%s: target %s, %d so far", LogEvent.COLD_STATEMENT_MALFORMED, target, count);
        }
    }

    /** How long one incarnation of a target is cold; guarded by the lock of the owner. */
    private static final class ColdState {
        /** Sequence of the last announcement that was applied. */
        private long sequence = Long.MIN_VALUE;

        private long endNanos;
        private boolean limited;
        private long limitedUntilNanos;

        ColdState(long nowNanos) {
            this.endNanos = nowNanos;
        }

        void extend(long nanos) {
            endNanos = nanos - endNanos > 0 ? nanos : endNanos;
        }
    }
}
