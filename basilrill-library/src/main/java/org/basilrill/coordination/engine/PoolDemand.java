package org.basilrill.coordination.engine;

import java.util.HashMap;
import java.util.Map;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.ModelDemand;

/** Demand for models including their adapters. Immutable and thread safe. */
final class PoolDemand {
    /** Demand in tokens per second below which a model gets no further copy. */
    private static final double NEGLIGIBLE_RATE = 200;

    private final Map<ModelId, Double> rates = new HashMap<>();
    private final Map<ModelId, Double> retentionRates = new HashMap<>();
    private final Map<ModelId, Integer> waiting = new HashMap<>();

    PoolDemand(Map<ModelId, ModelDemand> demand) {
        demand.forEach((model, modelDemand) -> {
            rates.merge(model.base(), modelDemand.shortRate(), Double::sum);
            retentionRates.merge(model.base(), modelDemand.rate(), Double::sum);
            waiting.merge(model.base(), modelDemand.waiting(), Integer::sum);
        });
    }

    /** Returns the demand in tokens per second. */
    double rate(ModelId base) {
        return rates.getOrDefault(base, 0.0);
    }

    /**
     * Returns the demand in tokens per second that protects copies from eviction: it follows a rise at once and a fall
     * with a delay.
     */
    double retentionRate(ModelId base) {
        return retentionRates.getOrDefault(base, 0.0);
    }

    /** Returns whether requests are queued for the model. */
    boolean isAwaited(ModelId base) {
        return waiting.getOrDefault(base, 0) > 0;
    }

    /** Returns whether the demand justifies a further copy. */
    boolean isNotable(ModelId base) {
        return rate(base) > NEGLIGIBLE_RATE;
    }
}
