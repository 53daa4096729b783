package org.basilrill.coordination.placement;

import org.basilrill.state.configuration.Rules.StoreLimits;

/**
 * Token bucket that limits the loads per second from the weight store. It starts empty, so that a change of the
 * controller allows no burst. Not thread safe.
 */
final class LoadRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private double allowance;
    private long updatedNanos;

    LoadRateLimiter(long nowNanos) {
        updatedNanos = nowNanos;
    }

    /** Returns the number of loads that may start now. */
    int available(StoreLimits limits, long nowNanos) {
        double capacity = Math.max(1, limits.loadsPerSecond());
        double added = limits.loadsPerSecond() * (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        allowance = Math.min(capacity, allowance + added);
        updatedNanos = nowNanos;
        return (int) allowance;
    }

    void consume() {
        allowance--;
    }
}
