package org.basilrill.coordination.budget;

import java.time.Duration;

/** Times of the grant protocol. Stateless and thread safe. */
final class BudgetTiming {
    /** Counted by the requester from its ask and by the owner from its grant, so the requester's expiry is first. */
    static final long GRANT_LIFETIME = Duration.ofSeconds(2).toNanos();
    /** A grant that paid for nothing for this long goes back to the owner. */
    static final long IDLE_RETURN = Duration.ofMillis(500).toNanos();
    /** Covers a lost message within the usual deadlines; a round trip takes about 1 ms. */
    static final long ASK_REPEAT = Duration.ofMillis(100).toNanos();
    /** Reports and refunds are collected this long, so that a busy account costs 20 messages a second at most. */
    static final long REPORT_DELAY = Duration.ofMillis(50).toNanos();
    /** How long an ask waits at the owner for refill or recalled grants; shorter than the repetition of an ask. */
    static final long SHORT_WAIT = Duration.ofMillis(50).toNanos();
    /** Shortest time between two recalls of one instance. */
    static final long RECALL_INTERVAL = Duration.ofMillis(20).toNanos();
    /** No look-ahead is granted for this long after an ask was short, so that no instance holds what another lacks. */
    static final long LOOK_AHEAD_PAUSE = Duration.ofMillis(200).toNanos();
    /** Part of the recent spending that is asked for in advance. */
    static final double LOOK_AHEAD_SECONDS = 0.5;
    /** Time constant of the average of recent spending. */
    static final double SPENDING_AVERAGE_SECONDS = 1.0;
    /** Waiting time of the next candidate by rendezvous rank, in case the earlier ones do not claim the bucket. */
    static final long CLAIM_RANK_DELAY = Duration.ofSeconds(1).toNanos();
    /** An instance with a replica leaves buckets that never had an owner to those that are still starting. */
    static final long FIRST_CLAIM_OF_REPLICA = Duration.ofSeconds(2).toNanos();
    /** Pause between two claims of the same bucket. */
    static final long CLAIM_REPEAT = Duration.ofMillis(500).toNanos();
    /** Deadline of one command to the control log. */
    static final Duration COMMAND_DEADLINE = Duration.ofSeconds(1);
    /** Session timeout plus the lifetime of a grant: the longest regular loss of an owner. */
    static final long OWNER_RECOVERY = Duration.ofSeconds(7).toNanos();
    /** Refunds of longer requests are dropped. Requester state is kept as long, so no refund is credited twice. */
    static final long REFUND_HORIZON = Duration.ofMinutes(10).toNanos();
    /** Smallest delay named in a refusal. */
    static final long MINIMUM_RETRY = Duration.ofMillis(1).toNanos();

    /** Shortest timer; keeps a time that is already due from being scheduled in a tight loop. */
    static final long MINIMUM_TIMER = Duration.ofMillis(1).toNanos();

    private BudgetTiming() {}
}
