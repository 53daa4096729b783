package org.basilrill.coordination.placement;

import org.basilrill.state.configuration.Rules.StoreLimits;

/**
 * Token bucket of the loads that the weight store takes per second. It starts empty, so that a change of the controller
 * grants no burst. Not thread safe.
 */
final class LoadBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private long updatedNanos;

    LoadBudget(long nowNanos) {
        updatedNanos = nowNanos;
    }

    /** Returns the whole loads that may begin now. */
    int available(StoreLimits limits, long nowNanos) {
        double capacity = Math.max(1, limits.loadsPerSecond());
        double added = limits.loadsPerSecond() * (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        tokens = Math.min(capacity, tokens + added);
        updatedNanos = nowNanos;
        return (int) tokens;
    }

    void take() {
        tokens--;
    }
}
