package org.basilrill.coordination.membership;

import org.basilrill.api.MonotonicClock;

/**
 * Bounds the messages that an instance passes on, or has passed on, so that a partition does not exhaust links on which
 * its own messages depend. Thread safe.
 */
final class ForwardingAllowance {
    /** Payload bytes per second: a quarter of the slowest links, of 7 Mbit/s. */
    private static final double BYTES_PER_SECOND = 220_000;
    /** Rules of the largest deployments (94 KB) must pass as one message, for several instances at once. */
    private static final double BURST_BYTES = 1_000_000;
    /** Counted for each message besides its payload; bounds the number of small messages too. */
    private static final int MESSAGE_BYTES = 100;

    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private double available = BURST_BYTES;
    private long updatedNanos;

    ForwardingAllowance(MonotonicClock clock) {
        this.clock = clock;
        this.updatedNanos = clock.nanos();
    }

    /** Returns whether a message may be passed on now; if so, it counts. */
    synchronized boolean admits(int payloadBytes) {
        long now = clock.nanos();
        available = Math.min(BURST_BYTES, available + (now - updatedNanos) * BYTES_PER_SECOND / NANOS_PER_SECOND);
        updatedNanos = now;
        double cost = (double) payloadBytes + MESSAGE_BYTES;
        if (cost > available) {
            return false;
        }
        available -= cost;
        return true;
    }
}
