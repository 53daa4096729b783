package org.basilrill.coordination.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.basilrill.state.target.RequestRate;

/**
 * Token bucket of the permits for one target. It starts empty, because the requests sent before are unknown. The level
 * never exceeds the burst of one request and a tenth of a second of the rate. The level and the permits that may still
 * be used never exceed the burst and the refill in the validity of a permit, so that permits which are returned and
 * issued again do not accumulate. Not thread safe; guarded by its user.
 */
final class PermitBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Part of the rate, in seconds, that the burst adds to one request, so that timers need not be exact. */
    private static final double BURST_SECONDS = 0.1;
    /** Debt of requests sent without a permit, in seconds of the rate, beyond which callers would wait too long. */
    private static final double MAXIMUM_DEBT_SECONDS = 1;
    /** A target that states a lower rate still gets a request now and then, by which the end of its limit is seen. */
    private static final double MINIMUM_PER_SECOND = 0.05;

    private static final double VALIDITY_SECONDS = LimitTiming.PERMIT_VALIDITY / NANOS_PER_SECOND;

    /** Times at which permits were issued that may still be used, the earliest first. */
    private final Deque<Long> outstanding = new ArrayDeque<>();

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
        outstanding.add(nowNanos);
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
        for (long permit = 0; permit < permits && outstanding.poll() != null; permit++) {
            level = Math.min(burst(), level + 1);
        }
    }

    /** Returns the time in which this many permits become available, at least one nanosecond. */
    long nanosUntil(long permits, long nowNanos) {
        refill(nowNanos);
        long refillNanos = (long) Math.ceil(Math.max(0, permits - level) / perSecond * NANOS_PER_SECOND);
        boolean waitsForExpiry = level < 1 && headroom() < 1;
        long expiryNanos = waitsForExpiry ? outstanding.peek() + LimitTiming.PERMIT_VALIDITY - nowNanos : 0;
        return Math.max(refillNanos, expiryNanos) + 1;
    }

    /** Returns the time in which this many permits are refilled. */
    long nanosPer(long permits) {
        return (long) Math.ceil(permits / perSecond * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        long elapsed = Math.max(0, nowNanos - refilledNanos);
        while (!outstanding.isEmpty() && nowNanos - outstanding.peek() > LimitTiming.PERMIT_VALIDITY) {
            outstanding.poll();
        }
        double refilled = Math.min(Math.min(burst(), headroom()), level + elapsed * perSecond / NANOS_PER_SECOND);
        level = Math.max(Math.min(level, burst()), refilled);
        refilledNanos = nowNanos;
    }

    /** Returns how many permits the level may have besides those that may still be used. */
    private double headroom() {
        return burst() + perSecond * VALIDITY_SECONDS - outstanding.size();
    }

    private double burst() {
        return 1 + BURST_SECONDS * perSecond;
    }

    private static double effective(RequestRate rate) {
        return Math.max(MINIMUM_PER_SECOND, rate.perSecond());
    }
}
