package org.basilrill.coordination.engine;

import java.util.concurrent.TimeUnit;

/**
 * Limits how many models are fetched from the weight store per second. It starts empty, so that a change of the leader
 * grants no burst. Not thread safe.
 */
final class LoadAllowance {
    /** Loads that may begin at once after a pause. */
    private static final double BURST = 3;

    private double tokens;
    private long updatedNanos;

    LoadAllowance(long nowNanos) {
        updatedNanos = nowNanos;
    }

    /** Returns the loads that may begin now. */
    int available(double perSecond, long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(BURST, tokens + perSecond * seconds);
        updatedNanos = nowNanos;
        return (int) tokens;
    }

    void take() {
        tokens--;
    }
}
