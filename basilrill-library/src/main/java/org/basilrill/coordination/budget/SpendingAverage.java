package org.basilrill.coordination.budget;

import java.util.concurrent.TimeUnit;

/** Exponentially decaying average of recent spending, in tokens per second. Not thread safe. */
final class SpendingAverage {
    private double tokens;
    private long updatedAt;

    void add(long spent, long nowNanos) {
        tokens = decayed(nowNanos) + spent;
        updatedAt = nowNanos;
    }

    double tokensPerSecond(long nowNanos) {
        return decayed(nowNanos) / BudgetTiming.SPENDING_AVERAGE_SECONDS;
    }

    private double decayed(long nowNanos) {
        double seconds = (double) (nowNanos - updatedAt) / TimeUnit.SECONDS.toNanos(1);
        return tokens * Math.exp(-Math.max(0, seconds) / BudgetTiming.SPENDING_AVERAGE_SECONDS);
    }
}
