package org.basilrill.coordination.placement;

/**
 * Total demand for one model or adapter at all instances. Immutable and thread safe.
 *
 * @param shortRate tokens per second, averaged over about 30 s
 * @param longRate tokens per second, averaged over about 10 min
 * @param waiting requests that wait for the first ready copy
 */
public record ModelDemand(double shortRate, double longRate, int waiting) {
    /** No demand. */
    public static final ModelDemand NONE = new ModelDemand(0, 0, 0);

    /** Returns the rate to plan for: an increase counts after seconds, a decrease only after minutes. */
    public double rate() {
        return Math.max(shortRate, longRate);
    }

    /** Returns the sum of both demands. */
    public ModelDemand plus(ModelDemand other) {
        return new ModelDemand(shortRate + other.shortRate, longRate + other.longRate, waiting + other.waiting);
    }
}
