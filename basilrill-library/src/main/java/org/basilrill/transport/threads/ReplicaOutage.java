package org.basilrill.transport.threads;

import java.time.Duration;
import org.basilrill.api.BasilrillException;

/**
 * A period in which a replica takes no part because its disk cannot be written or it failed, with the time of the next
 * attempt to take part. The wait doubles after each failed attempt. Immutable and thread safe.
 *
 * @param reason the failure that began the outage
 * @param beganNanos time of that failure on the monotonic clock
 * @param attempts failed attempts to take part again
 * @param nextAttemptNanos time of the next attempt
 */
record ReplicaOutage(BasilrillException reason, long beganNanos, int attempts, long nextAttemptNanos) {
    private static final Duration FIRST_WAIT = Duration.ofMillis(50);
    /** Bounds the delay of the return, since the disk may have room again just after an attempt. */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(800);

    /**
     * Begins an outage.
     *
     * @param attempts attempts that failed shortly before, from which on the wait grows
     */
    static ReplicaOutage begin(BasilrillException reason, int attempts, long nowNanos) {
        return new ReplicaOutage(reason, nowNanos, attempts, nowNanos + waitAfter(attempts));
    }

    /** Returns the outage after one more failed attempt. */
    ReplicaOutage afterFailedAttempt(long nowNanos) {
        return new ReplicaOutage(reason, beganNanos, attempts + 1, nowNanos + waitAfter(attempts + 1));
    }

    private static long waitAfter(int failedAttempts) {
        long wait = FIRST_WAIT.toNanos();
        for (int doubled = 0; doubled < failedAttempts && wait < LONGEST_WAIT.toNanos(); doubled++) {
            wait *= 2;
        }
        return Math.min(wait, LONGEST_WAIT.toNanos());
    }

    boolean isAttemptDue(long nowNanos) {
        return nowNanos - nextAttemptNanos >= 0;
    }

    /** Returns the time since the outage began. */
    Duration length(long nowNanos) {
        return Duration.ofNanos(nowNanos - beganNanos);
    }
}
