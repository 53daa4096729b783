package org.basilrill.coordination.membership;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.membership.Fact.FormatLevelFact;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.FormatLevel;

/**
 * The format levels of control records that the instances understand. Publishes the level of this instance, and decides
 * whether a command may be proposed while replicas of an earlier release may still be running. Thread safe: guarded by
 * its own lock.
 */
public final class FormatLevels {
    /**
     * Time after the start in which a voter that is not known yet counts as one of an earlier release. It corresponds
     * to the suspicion timeout of the membership. After it, a voter that is not known counts as failed.
     */
    static final Duration LEARNING_TIME = Duration.ofSeconds(3);

    /** Periods between two publications while members without a level are known. */
    static final int REPUBLICATION_PERIODS = 10;

    /** Periods for which publication continues after the last member without a level was known. */
    static final int CONTINUATION_PERIODS = 60;

    private final GossipMembership membership;
    private final boolean holdsReplica;
    private final MonotonicClock clock;
    private final long startNanos;
    private boolean published;
    private int remainingPeriods;
    private int periodsUntilNext;

    /**
     * Creates levels of which none is published yet.
     *
     * @param holdsReplica whether this instance holds a replica of the control log, so that others need its level
     */
    public FormatLevels(GossipMembership membership, boolean holdsReplica, MonotonicClock clock) {
        this.membership = membership;
        this.holdsReplica = holdsReplica;
        this.clock = clock;
        startNanos = clock.nanos();
    }

    /**
     * Publishes the level of this instance. Called once per period.
     *
     * <p>A build of an earlier release leaves the fact out when it passes on the version that contains it, and the
     * recipient does not request that version again. While such builds run, the holder of a replica therefore sends its
     * level to all members repeatedly.
     */
    public synchronized void publish() {
        FormatLevelFact fact = new FormatLevelFact(FormatLevel.HIGHEST);
        if (!published) {
            published = true;
            membership.publish(fact);
            return;
        }
        if (!holdsReplica) {
            return;
        }
        boolean mixed = membership.members().stream().anyMatch(member -> levelOf(member.id()) == FormatLevel.NONE);
        remainingPeriods = mixed ? CONTINUATION_PERIODS : Math.max(0, remainingPeriods - 1);
        if (remainingPeriods > 0 && periodsUntilNext <= 0) {
            periodsUntilNext = REPUBLICATION_PERIODS;
            membership.publishUrgently(fact);
        } else if (periodsUntilNext <= 0) {
            // A member that received the version without the fact from an earlier release would lack it for good.
            periodsUntilNext = CONTINUATION_PERIODS;
            membership.publish(fact);
        }
        periodsUntilNext--;
    }

    /**
     * Returns whether all replicas that may apply the command understand it: those that are known and not suspected.
     *
     * @param voters instances whose replicas vote according to the log
     */
    public boolean permits(ControlCommand command, Supplier<List<InstanceId>> voters) {
        int required = FormatLevel.requiredBy(command);
        if (required == FormatLevel.NONE) {
            return true;
        }
        boolean learning = clock.nanos() - startNanos < LEARNING_TIME.toNanos();
        if (learning
                && voters.get().stream()
                        .anyMatch(voter -> membership.member(voter).isEmpty())) {
            return false;
        }
        return membership.members().stream()
                .filter(member -> member.replica() && !member.suspected())
                .map(Member::id)
                .allMatch(holder -> levelOf(holder) >= required);
    }

    private int levelOf(InstanceId instance) {
        return membership.facts(instance, FormatLevelFact.class).stream()
                .mapToInt(FormatLevelFact::level)
                .max()
                .orElse(FormatLevel.NONE);
    }
}
