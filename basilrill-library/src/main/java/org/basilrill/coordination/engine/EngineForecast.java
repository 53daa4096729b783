package org.basilrill.coordination.engine;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.EnginePool;

/**
 * Estimates the minimum time until models with queued requests are ready, so that callers whose deadline is earlier are
 * refused at once. Stateless and thread safe.
 */
final class EngineForecast {
    /** Duration of a load from local weights, as a fraction of a load from the weight store. */
    private static final double LOCAL_LOAD_FRACTION = 0.2;
    /** Remaining time assumed for a load that takes longer than usual. */
    private static final Duration MIN_REMAINING = Duration.ofMillis(200);

    private EngineForecast() {}

    /**
     * Returns the time until the models are ready, except for models that are ready now or belong to other pools. The
     * estimate of an adapter is that of its model, because the adapter itself loads in milliseconds.
     *
     * @param models models and adapters with queued requests
     */
    static Map<ModelId, Duration> untilReady(
            EnginePool pool, Collection<EngineState> engines, Collection<ModelId> models, long nowNanos) {
        Map<ModelId, Duration> forecast = new HashMap<>();
        for (ModelId model : models) {
            ModelId base = model.base();
            boolean ready = engines.stream()
                    .anyMatch(engine -> engine.readyModels().contains(base)
                            && !engine.announcement().leaving());
            Optional<Duration> storeLoadTime = Optional.ofNullable(pool.models().get(base));
            if (!ready && storeLoadTime.isPresent()) {
                forecast.put(model, untilLoaded(base, storeLoadTime.get(), engines, nowNanos));
            }
        }
        return forecast;
    }

    private static Duration untilLoaded(
            ModelId model, Duration storeLoadTime, Collection<EngineState> engines, long nowNanos) {
        return remainingLoadTime(model, storeLoadTime, engines, nowNanos)
                .orElseGet(() -> engines.stream()
                        .map(engine -> totalLoadTime(model, storeLoadTime, engine))
                        .min(Duration::compareTo)
                        .orElse(storeLoadTime));
    }

    /** Returns the time until the first load of the model in progress ends. */
    static Optional<Duration> remainingLoadTime(
            ModelId model, Duration storeLoadTime, Collection<EngineState> engines, long nowNanos) {
        return engines.stream()
                .filter(engine -> engine.isLoading(model))
                .map(engine -> remainingLoadTime(model, storeLoadTime, engine, nowNanos))
                .min(Duration::compareTo);
    }

    /** Returns the duration of a load from local weights. */
    static Duration localLoadTime(Duration storeLoadTime) {
        return Duration.ofMillis(Math.round(storeLoadTime.toMillis() * LOCAL_LOAD_FRACTION));
    }

    private static Duration remainingLoadTime(
            ModelId model, Duration storeLoadTime, EngineState engine, long nowNanos) {
        Duration remaining = totalLoadTime(model, storeLoadTime, engine).minus(engine.timeSinceChange(model, nowNanos));
        return remaining.compareTo(MIN_REMAINING) > 0 ? remaining : MIN_REMAINING;
    }

    private static Duration totalLoadTime(ModelId model, Duration storeLoadTime, EngineState engine) {
        return engine.hasLocalWeights(model) ? localLoadTime(storeLoadTime) : storeLoadTime;
    }
}
