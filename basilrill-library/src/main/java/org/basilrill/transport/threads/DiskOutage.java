package org.basilrill.transport.threads;

import java.time.Duration;
import org.basilrill.api.BasilrillException;

/**
 * A period in which the disk of a replica cannot be written, with the time of the next attempt to use it. The wait
 * doubles after each failed attempt. Immutable and thread safe.
 *
 * @param reason the failure that began the outage
 * @param beganNanos time of that failure on the monotonic clock
 * @param attempts failed attempts to use the disk again
 * @param nextAttemptNanos time of the next attempt
 */
record DiskOutage(BasilrillException reason, long beganNanos, int attempts, long nextAttemptNanos) {
    private static final Duration FIRST_WAIT = Duration.ofMillis(50);
    /** Bounds the delay of the return, since the disk may have room again just after an attempt. */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(800);

    static DiskOutage begin(BasilrillException reason, long nowNanos) {
        return new DiskOutage(reason, nowNanos, 0, nowNanos + FIRST_WAIT.toNanos());
    }

    /** Returns the outage after one more failed attempt. */
    DiskOutage afterFailedAttempt(long nowNanos) {
        int failed = attempts + 1;
        long wait = FIRST_WAIT.toNanos();
        for (int doubled = 0; doubled < failed && wait < LONGEST_WAIT.toNanos(); doubled++) {
            wait *= 2;
        }
        return new DiskOutage(reason, beganNanos, failed, nowNanos + Math.min(wait, LONGEST_WAIT.toNanos()));
    }

    boolean isAttemptDue(long nowNanos) {
        return nowNanos - nextAttemptNanos >= 0;
    }

    /** Returns the time since the outage began. */
    Duration length(long nowNanos) {
        return Duration.ofNanos(nowNanos - beganNanos);
    }
}
