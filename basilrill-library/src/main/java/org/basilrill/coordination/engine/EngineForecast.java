package org.basilrill.coordination.engine;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.EnginePool;

/**
 * Tells how long it takes at least until models that requests wait for are ready, so that callers who cannot wait as
 * long are refused at once. Stateless and thread safe.
 */
final class EngineForecast {
    /** Part of a load from the weight store that a load from copies on the machine takes. */
    private static final double SHARE_AT_HAND = 0.2;
    /** A load that takes longer than usual is taken to end soon. */
    private static final Duration OVERDUE = Duration.ofMillis(200);

    private EngineForecast() {}

    /**
     * Returns the time until the models are ready, without those that are ready now or belong to other pools. An
     * adapter takes as long as its model, as it loads in milliseconds itself.
     *
     * @param models models and adapters that requests wait for
     */
    static Map<ModelId, Duration> untilReady(
            EnginePool pool, Collection<EngineState> engines, Collection<ModelId> models, long nowNanos) {
        Map<ModelId, Duration> forecast = new HashMap<>();
        for (ModelId model : models) {
            ModelId base = model.base();
            boolean ready = engines.stream()
                    .anyMatch(engine -> engine.readyModels().contains(base)
                            && !engine.announcement().leaving());
            Optional<Duration> load = Optional.ofNullable(pool.models().get(base));
            if (!ready && load.isPresent()) {
                forecast.put(model, untilLoaded(base, load.get(), engines, nowNanos));
            }
        }
        return forecast;
    }

    private static Duration untilLoaded(ModelId model, Duration load, Collection<EngineState> engines, long nowNanos) {
        return engines.stream()
                .filter(engine -> engine.isLoading(model))
                .map(engine -> left(model, load, engine, nowNanos))
                .min(Duration::compareTo)
                .orElseGet(() -> engines.stream()
                        .map(engine -> whole(model, load, engine))
                        .min(Duration::compareTo)
                        .orElse(load));
    }

    private static Duration left(ModelId model, Duration load, EngineState engine, long nowNanos) {
        Duration left = whole(model, load, engine).minus(engine.sinceChange(model, nowNanos));
        return left.compareTo(OVERDUE) > 0 ? left : OVERDUE;
    }

    private static Duration whole(ModelId model, Duration load, EngineState engine) {
        return engine.hasAtHand(model) ? Duration.ofMillis(Math.round(load.toMillis() * SHARE_AT_HAND)) : load;
    }
}
