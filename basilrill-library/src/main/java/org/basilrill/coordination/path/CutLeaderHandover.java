package org.basilrill.coordination.path;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.control.ControlLog;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.Membership.Member;

/**
 * Hands the leadership of the control log over when the leader has lost its paths to most targets, because target
 * orders come from the leader and are not relayed. Not thread safe; called by one task.
 */
public final class CutLeaderHandover {
    /** The cut and the state of the other replicas have to be known for this long; a short cut causes no change. */
    private static final Duration CONFIRMATION = Duration.ofSeconds(1);
    /** A handover to a replica that then turns out to be cut as well is not followed by another one at once. */
    private static final Duration INTERVAL = Duration.ofSeconds(4);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final InstanceId self;
    private final ControlLog log;
    private final Membership membership;
    private final BooleanSupplier cutOff;
    private final MonotonicClock clock;
    private long reachedNanos;
    private long nextHandoverNanos;

    /**
     * Creates the check.
     *
     * @param cutOff whether this instance has lost its own paths to most targets
     */
    public CutLeaderHandover(
            InstanceId self, ControlLog log, Membership membership, BooleanSupplier cutOff, MonotonicClock clock) {
        this.self = self;
        this.log = log;
        this.membership = membership;
        this.cutOff = cutOff;
        this.clock = clock;
        reachedNanos = clock.nanos();
        nextHandoverNanos = clock.nanos();
    }

    /** Called periodically. */
    public void check() {
        long now = clock.nanos();
        if (!cutOff.getAsBoolean()) {
            reachedNanos = now;
            return;
        }
        if (!log.isLeader() || now - reachedNanos < CONFIRMATION.toNanos() || now - nextHandoverNanos < 0) {
            return;
        }
        Set<InstanceId> successors = membership.members().stream()
                .filter(this::reachesTargets)
                .map(Member::id)
                .collect(Collectors.toSet());
        if (successors.isEmpty()) {
            return;
        }
        nextHandoverNanos = now + INTERVAL.toNanos();
        LOGGER.atWarning().log("%s: to one of %s", LogEvent.LEADER_CUT_FROM_TARGETS, successors);
        log.handOverLeadership(successors::contains);
    }

    private boolean reachesTargets(Member member) {
        return !member.id().equals(self)
                && member.replica()
                && !member.suspected()
                && !member.draining()
                && !member.cutFromTargets();
    }
}
