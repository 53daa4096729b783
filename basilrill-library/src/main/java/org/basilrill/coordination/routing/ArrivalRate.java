package org.basilrill.coordination.routing;

/** Number of events in a second, averaged with an exponential decay. Not thread safe; guarded by its owner's lock. */
final class ArrivalRate {
    /** Time in which the weight of an event falls to 1/e. */
    private static final double DECAY_NANOS = 5e9;

    private static final double NANOS_PER_SECOND = 1e9;

    private double count;
    private long updatedNanos;
    private long firstNanos;
    private boolean started;

    void add(long now) {
        if (!started) {
            started = true;
            firstNanos = now;
            updatedNanos = now;
        }
        advance(now);
        count++;
    }

    double perSecond(long now) {
        if (!started) {
            return 0;
        }
        advance(now);
        // Shortly after the first event, the observed time is less than the decay time. At least half a second counts,
        // so that the first events do not give a very high rate.
        double observedNanos = DECAY_NANOS * (1 - Math.exp(-Math.max(1, now - firstNanos) / DECAY_NANOS));
        return count / Math.max(observedNanos, NANOS_PER_SECOND / 2) * NANOS_PER_SECOND;
    }

    private void advance(long now) {
        long elapsed = now - updatedNanos;
        if (elapsed > 0) {
            count *= Math.exp(-elapsed / DECAY_NANOS);
            updatedNanos = now;
        }
    }
}
