package org.basilrill.coordination.placement;

/**
 * Demand for one model or adapter over all instances. Immutable and thread safe.
 *
 * @param shortRate tokens per second, averaged over about 30 s
 * @param longRate tokens per second, averaged over about 10 min
 * @param waiting requests that wait for a first copy
 */
public record ModelDemand(double shortRate, double longRate, int waiting) {
    /** No demand. */
    public static final ModelDemand NONE = new ModelDemand(0, 0, 0);

    /** Returns the rate to provide for: a rise counts after seconds, a fall only after minutes. */
    public double rate() {
        return Math.max(shortRate, longRate);
    }

    /** Returns the demand for both together. */
    public ModelDemand plus(ModelDemand other) {
        return new ModelDemand(shortRate + other.shortRate, longRate + other.longRate, waiting + other.waiting);
    }
}
