package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates how many requests per second leave the queue of one destination while it is not empty. Recent seconds count
 * most. Not thread safe; guarded by the dispatcher.
 */
final class DrainRate {
    private static final double DECAY_NANOS = Duration.ofSeconds(2).toNanos();

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
        if (backlogNanos < LEAST_BACKLOG_NANOS) {
            return Optional.empty();
        }
        return Optional.of(dispatches / backlogNanos * Duration.ofSeconds(1).toNanos());
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
