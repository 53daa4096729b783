package org.basilrill.coordination.engine;

import java.util.concurrent.TimeUnit;

/**
 * Limits the number of models loaded from the weight store per second. It starts without unused loads, so that a change
 * of the leader allows no burst. Not thread safe.
 */
final class LoadRateLimiter {
    /** Maximum number of loads that may begin at once. */
    private static final double BURST = 3;

    private double unusedLoads;
    private long updatedNanos;

    LoadRateLimiter(long nowNanos) {
        updatedNanos = nowNanos;
    }

    /** Returns the number of loads that may begin now. */
    int availableLoads(double perSecond, long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        unusedLoads = Math.min(BURST, unusedLoads + perSecond * seconds);
        updatedNanos = nowNanos;
        return (int) unusedLoads;
    }

    void acquire() {
        unusedLoads--;
    }
}
