package org.basilrill.state.configuration;

import java.time.Duration;
import java.util.Map;
import org.basilrill.api.ModelId;

/**
 * The engines of one service and the models that may be loaded into them. Immutable and thread safe.
 *
 * @param service name under which its engines announce themselves
 * @param memoryBytes memory of one engine for models and adapters together
 * @param adapterSlots number of adapters that can be resident in one engine
 * @param loadsPerSecond number of models that all engines together may load from the weight store
 * @param models models of the pool with the time that their load from the weight store takes
 */
public record EnginePool(
        String service, long memoryBytes, int adapterSlots, double loadsPerSecond, Map<ModelId, Duration> models) {
    public EnginePool {
        models = Map.copyOf(models);
    }
}
