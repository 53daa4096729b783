package org.basilrill.state.configuration;

import java.time.Duration;
import java.util.Map;
import org.basilrill.api.ModelId;

/**
 * The engines of one service and what may be loaded into each. Immutable and thread safe.
 *
 * @param service name under which its engines announce themselves
 * @param memoryBytes memory of one engine for models and adapters together
 * @param adapterSlots adapters that one engine can hold
 * @param loadsPerSecond models that all engines together may fetch from the weight store
 * @param models models of the pool with the time a load from the weight store takes
 */
public record EnginePool(
        String service, long memoryBytes, int adapterSlots, double loadsPerSecond, Map<ModelId, Duration> models) {
    public EnginePool {
        models = Map.copyOf(models);
    }
}
