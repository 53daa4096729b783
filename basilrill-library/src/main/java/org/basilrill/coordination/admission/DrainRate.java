package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates how many requests per second leave the queue of one destination while it is not empty. The observations are
 * weighted by an exponential decay. Not thread safe; guarded by the lock of the dispatcher.
 */
final class DrainRate {
    private static final double DECAY_NANOS = Duration.ofSeconds(5).toNanos();

    /** A shorter observation is too short for a meaningful rate. */
    private static final double MIN_BACKLOG_NANOS = Duration.ofMillis(250).toNanos();

    private double dispatches;
    private double backlogNanos;
    private long updatedNanos;
    private boolean backlogged;

    /** Records whether the queue is non-empty from this time on. */
    void setBacklogged(boolean hasQueuedRequests, long now) {
        advance(now);
        backlogged = hasQueuedRequests;
    }

    /** Counts a request that left a non-empty queue. */
    void dispatched(long now) {
        advance(now);
        dispatches++;
    }

    /** Returns requests per second, or empty if the observation is too short. */
    Optional<Double> perSecond(long now) {
        advance(now);
        return perSecond(dispatches);
    }

    /**
     * Returns a rate one standard deviation above the mean. An instance sees only a few dispatches per second; an
     * estimate that is too low by chance would refuse requests that could be served.
     */
    Optional<Double> optimisticPerSecond(long now) {
        advance(now);
        return perSecond(dispatches + 1 + Math.sqrt(dispatches));
    }

    private Optional<Double> perSecond(double weightedDispatches) {
        if (backlogNanos < MIN_BACKLOG_NANOS) {
            return Optional.empty();
        }
        return Optional.of(
                weightedDispatches / backlogNanos * Duration.ofSeconds(1).toNanos());
    }

    private void advance(long now) {
        long elapsed = now - updatedNanos;
        updatedNanos = now;
        if (!backlogged || elapsed <= 0) {
            return;
        }
        double decayFactor = Math.exp(-elapsed / DECAY_NANOS);
        dispatches *= decayFactor;
        backlogNanos = backlogNanos * decayFactor + DECAY_NANOS * (1 - decayFactor);
    }
}
