package org.basilrill.coordination.engine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.EnginePool;

/** Finds the models in demand that no engine of a pool serves. Follows the state of the engines; not thread safe. */
final class UnservedModels {
    /**
     * A model with a smaller share of the demand of the busiest one waits for the load in progress: when each model was
     * loaded twice after a crash, the second loads delayed the models that were still missing.
     */
    private static final double NOTABLE_SHARE = 0.05;

    private final EnginePool pool;
    private final List<EngineState> reachable;
    private final PoolDemand demand;

    UnservedModels(EnginePool pool, Collection<EngineState> engines, PoolDemand demand) {
        this.pool = pool;
        reachable =
                engines.stream().filter(engine -> !engine.refusesConnections()).toList();
        this.demand = demand;
    }

    /**
     * Returns whether the model is in demand and no engine serves it. The announcement of an engine counts until its
     * first report, so that a new leader does not load what is in service.
     */
    boolean contains(ModelId model) {
        return (demand.isNotable(model) || demand.isAwaited(model))
                && reachable.stream()
                        .noneMatch(engine -> engine.isResidentOrLoading(model) && !engine.isLoading(model));
    }

    /** Returns all such models, by descending demand. */
    List<ModelId> all() {
        return pool.models().keySet().stream()
                .filter(this::contains)
                .sorted(Comparator.comparingDouble((ModelId model) -> -demand.rate(model))
                        .thenComparing(model -> model))
                .toList();
    }

    /**
     * Returns the busiest of them that a load from local weights would serve sooner than the loads in progress, by
     * descending demand. A load from the weight store takes several times as long.
     */
    List<ModelId> busiest(long nowNanos) {
        double busiestRate =
                pool.models().keySet().stream().mapToDouble(demand::rate).max().orElse(0);
        return all().stream()
                .filter(model -> demand.rate(model) >= NOTABLE_SHARE * busiestRate)
                .filter(model -> !isServedSoon(model, nowNanos))
                .toList();
    }

    private boolean isServedSoon(ModelId model, long nowNanos) {
        Duration storeLoadTime = pool.models().get(model);
        Duration localLoadTime = EngineForecast.localLoadTime(storeLoadTime);
        Optional<Duration> remaining = EngineForecast.remainingLoadTime(model, storeLoadTime, reachable, nowNanos);
        return remaining.filter(time -> time.compareTo(localLoadTime) <= 0).isPresent()
                || reachable.stream()
                        .anyMatch(engine ->
                                engine.reservedModel().equals(Optional.of(model)) && engine.hasLocalWeights(model));
    }
}
