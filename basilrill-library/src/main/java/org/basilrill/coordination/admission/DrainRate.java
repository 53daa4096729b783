package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates how many requests per second leave the queue of one destination while it is not empty. Recent seconds count
 * most. Not thread safe; guarded by the dispatcher.
 */
final class DrainRate {
    private static final double DECAY_NANOS = Duration.ofSeconds(5).toNanos();

    /** Fewer observations than this say more about chance than about the rate. */
    private static final double LEAST_BACKLOG_NANOS = Duration.ofMillis(250).toNanos();

    private double dispatches;
    private double backlogNanos;
    private long updatedNanos;
    private boolean backlogged;

    /** Notes whether requests wait from now on. */
    void backlog(boolean waiting, long now) {
        advance(now);
        backlogged = waiting;
    }

    /** Counts a request that left a non-empty queue. */
    void dispatched(long now) {
        advance(now);
        dispatches++;
    }

    /** Returns requests per second, or empty while too little was observed. */
    Optional<Double> perSecond(long now) {
        advance(now);
        return perSecond(dispatches);
    }

    /**
     * Returns a rate one standard deviation above the mean. An instance sees only a few dispatches per second, and an
     * estimate that is low by chance would refuse requests that could be served.
     */
    Optional<Double> optimisticPerSecond(long now) {
        advance(now);
        return perSecond(dispatches + 1 + Math.sqrt(dispatches));
    }

    private Optional<Double> perSecond(double counted) {
        if (backlogNanos < LEAST_BACKLOG_NANOS) {
            return Optional.empty();
        }
        return Optional.of(counted / backlogNanos * Duration.ofSeconds(1).toNanos());
    }

    private void advance(long now) {
        long elapsed = now - updatedNanos;
        updatedNanos = now;
        if (!backlogged || elapsed <= 0) {
            return;
        }
        double kept = Math.exp(-elapsed / DECAY_NANOS);
        dispatches *= kept;
        backlogNanos = backlogNanos * kept + DECAY_NANOS * (1 - kept);
    }
}
