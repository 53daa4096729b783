package org.basilrill.coordination.budget;

import java.time.Duration;

/** Times of the grant protocol. Stateless and thread safe. */
final class BudgetTiming {
    /**
     * Lifetime of a grant. Starts at the request for the requester and at the grant for the owner, so that a grant
     * expires at the requester first.
     */
    static final long GRANT_LIFETIME = Duration.ofSeconds(2).toNanos();
    /** A grant that is idle for this long is returned to the owner. */
    static final long IDLE_RETURN_DELAY = Duration.ofMillis(500).toNanos();
    /**
     * Delay before a grant request is resent. Recovers from a lost message within common deadlines; a round trip takes
     * about 1 ms.
     */
    static final long REQUEST_RETRY_INTERVAL = Duration.ofMillis(100).toNanos();
    /**
     * Reports and refunds are collected for this long, so that an account causes at most 20 such messages per second.
     */
    static final long REPORT_DELAY = Duration.ofMillis(50).toNanos();
    /**
     * How long a grant request is queued at the owner until tokens are refilled or returned; shorter than
     * {@link #REQUEST_RETRY_INTERVAL}.
     */
    static final long OWNER_QUEUE_TIMEOUT = Duration.ofMillis(50).toNanos();
    /** Minimum interval between two recalls of one instance. */
    static final long RECALL_INTERVAL = Duration.ofMillis(20).toNanos();
    /**
     * No look-ahead is granted for this long after a request could not be granted at once, so that no instance reserves
     * tokens that another one needs.
     */
    static final long LOOK_AHEAD_PAUSE = Duration.ofMillis(200).toNanos();
    /** Look-ahead of a grant request, as seconds of recent spending. */
    static final double LOOK_AHEAD_SECONDS = 0.5;
    /** Time constant of the average of recent spending. */
    static final double SPENDING_AVERAGE_SECONDS = 1.0;
    /**
     * Additional claim delay per rendezvous rank, so that a candidate claims the bucket only if those ranked before it
     * do not.
     */
    static final long CLAIM_RANK_DELAY = Duration.ofSeconds(1).toNanos();
    /**
     * Additional delay of instances with a replica before they claim a bucket that never had an owner, so that
     * instances without a replica that are still starting claim it first.
     */
    static final long REPLICA_FIRST_CLAIM_DELAY = Duration.ofSeconds(2).toNanos();
    /** Minimum interval between two claims of the same bucket. */
    static final long CLAIM_RETRY_INTERVAL = Duration.ofMillis(500).toNanos();
    /** Deadline of a command to the control log. */
    static final Duration COMMAND_DEADLINE = Duration.ofSeconds(1);
    /** Session timeout plus lifetime of a grant: the longest expected time until a lost owner is replaced. */
    static final long OWNER_RECOVERY = Duration.ofSeconds(7).toNanos();
    /**
     * Refunds of grants older than this are dropped. The owner keeps the state of a requester at least as long, so that
     * no refund is credited twice.
     */
    static final long REFUND_HORIZON = Duration.ofMinutes(10).toNanos();
    /** Minimum retry delay in a refusal. */
    static final long MINIMUM_RETRY_DELAY = Duration.ofMillis(1).toNanos();

    /** Minimum timer delay; prevents a tight loop if the time is already due. */
    static final long MINIMUM_TIMER_DELAY = Duration.ofMillis(1).toNanos();

    private BudgetTiming() {}
}
