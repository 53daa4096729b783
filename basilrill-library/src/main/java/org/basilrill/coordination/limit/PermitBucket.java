package org.basilrill.coordination.limit;

import java.util.concurrent.TimeUnit;
import org.basilrill.state.target.RequestRate;

/**
 * Token bucket of the permits for one target. It starts empty, because the requests sent before are unknown. The level
 * never exceeds the burst of one request and a tenth of a second of the rate. Not thread safe; guarded by its user.
 */
final class PermitBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Part of the rate, in seconds, that the burst adds to one request, so that timers need not be exact. */
    private static final double BURST_SECONDS = 0.1;
    /** Debt of requests sent without a permit, in seconds of the rate, beyond which callers would wait too long. */
    private static final double MAXIMUM_DEBT_SECONDS = 1;
    /** A target that states a lower rate still gets a request now and then, by which the end of its limit is seen. */
    private static final double MINIMUM_PER_SECOND = 0.05;

    private double perSecond;
    private double level;
    private long refilledNanos;

    PermitBucket(RequestRate rate, long nowNanos) {
        perSecond = effective(rate);
        refilledNanos = nowNanos;
    }

    /** Applies a changed rate from now on. */
    void configure(RequestRate rate, long nowNanos) {
        refill(nowNanos);
        perSecond = effective(rate);
        level = Math.min(level, burst());
    }

    /** Takes one permit; returns false if there is none. */
    boolean take(long nowNanos) {
        refill(nowNanos);
        if (level < 1) {
            return false;
        }
        level--;
        return true;
    }

    /** Counts a request that is sent without a permit. */
    void charge(long nowNanos) {
        refill(nowNanos);
        level = Math.max(level - 1, -1 - MAXIMUM_DEBT_SECONDS * perSecond);
    }

    /** Adds permits that were returned unused. */
    void giveBack(long permits, long nowNanos) {
        refill(nowNanos);
        level = Math.min(burst(), level + permits);
    }

    /** Returns the time in which this many permits become available, at least one nanosecond. */
    long nanosUntil(long permits, long nowNanos) {
        refill(nowNanos);
        return (long) Math.ceil(Math.max(0, permits - level) / perSecond * NANOS_PER_SECOND) + 1;
    }

    /** Returns the time in which this many permits are refilled. */
    long nanosPer(long permits) {
        return (long) Math.ceil(permits / perSecond * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        long elapsed = Math.max(0, nowNanos - refilledNanos);
        level = Math.min(burst(), level + elapsed * perSecond / NANOS_PER_SECOND);
        refilledNanos = nowNanos;
    }

    private double burst() {
        return 1 + BURST_SECONDS * perSecond;
    }

    private static double effective(RequestRate rate) {
        return Math.max(MINIMUM_PER_SECOND, rate.perSecond());
    }
}
