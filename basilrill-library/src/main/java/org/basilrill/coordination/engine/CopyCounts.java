package org.basilrill.coordination.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.basilrill.api.ModelId;

/** Numbers of copies of models during one decision, with the orders planned so far. Not thread safe. */
final class CopyCounts {
    private final PoolDemand demand;
    private final Map<ModelId, Integer> copies = new HashMap<>();
    private final Map<ModelId, Integer> readyCopies = new HashMap<>();

    CopyCounts(Collection<EngineState> engines, PoolDemand demand) {
        this.demand = demand;
        engines.forEach(this::count);
    }

    /**
     * Counts the copies at an engine. Those at an engine that refuses connections serve nothing: models in demand are
     * loaded elsewhere, and the others wait for its return, as it has their weights on its disk.
     */
    private void count(EngineState engine) {
        boolean serves = !engine.refusesConnections();
        engine.residentOrLoadingModels().stream()
                .filter(model -> serves || !demand.isNotable(model))
                .forEach(model -> copies.merge(model, 1, Integer::sum));
        if (serves) {
            engine.readyModels().forEach(model -> readyCopies.merge(model, 1, Integer::sum));
        }
    }

    /** Returns the number of copies that are resident or loading. */
    int all(ModelId model) {
        return copies.getOrDefault(model, 0);
    }

    /** Returns the number of copies that can serve; loading copies cannot replace one that is unloaded. */
    int ready(ModelId model) {
        return readyCopies.getOrDefault(model, 0);
    }

    /** Returns the demand that an engine serves, in tokens per second. */
    double servedRate(EngineState engine) {
        double load = 0;
        for (ModelId model : engine.readyModels()) {
            load += demand.rate(model) / Math.max(1, all(model));
        }
        return load;
    }

    void loadPlanned(ModelId model) {
        copies.merge(model, 1, Integer::sum);
    }

    void unloadPlanned(ModelId model) {
        copies.merge(model, -1, Integer::sum);
        readyCopies.merge(model, -1, Integer::sum);
    }
}
