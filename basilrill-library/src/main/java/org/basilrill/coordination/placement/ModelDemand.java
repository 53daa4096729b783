package org.basilrill.coordination.placement;

import java.util.HashSet;
import java.util.Set;
import org.basilrill.state.configuration.Residency;

/**
 * Total demand for one model or adapter at all instances. Immutable and thread safe.
 *
 * @param shortRate tokens per second, averaged over about 30 s
 * @param longRate tokens per second, averaged over about 10 min
 * @param waiting requests that wait for the first ready copy
 * @param residencies where some of the requests may be served; empty if all may be served everywhere
 */
public record ModelDemand(double shortRate, double longRate, int waiting, Set<Residency> residencies) {
    /** No demand. */
    public static final ModelDemand NONE = new ModelDemand(0, 0, 0);

    public ModelDemand {
        residencies = Set.copyOf(residencies);
    }

    /** Creates the demand of requests that may be served everywhere. */
    public ModelDemand(double shortRate, double longRate, int waiting) {
        this(shortRate, longRate, waiting, Set.of());
    }

    /** Returns the rate to plan for: an increase counts after seconds, a decrease only after minutes. */
    public double rate() {
        return Math.max(shortRate, longRate);
    }

    /** Returns the sum of both demands. */
    public ModelDemand plus(ModelDemand other) {
        Set<Residency> all = new HashSet<>(residencies);
        all.addAll(other.residencies);
        return new ModelDemand(shortRate + other.shortRate, longRate + other.longRate, waiting + other.waiting, all);
    }
}
