package org.basilrill.state.configuration;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import org.basilrill.api.ModelId;

/**
 * The engines of one service and the models that may be loaded into them. Immutable and thread safe.
 *
 * @param service name under which its engines announce themselves
 * @param memoryBytes memory of one engine for models and adapters together
 * @param adapterSlots number of adapters that can be resident in one engine
 * @param loadsPerSecond number of models that all engines together may load from the weight store
 * @param models models of the pool with the time that their load from the weight store takes
 * @param requestTokens tokens of all requests at one engine that fit into its memory for requests; empty if not stated
 */
public record EnginePool(
        String service,
        long memoryBytes,
        int adapterSlots,
        double loadsPerSecond,
        Map<ModelId, Duration> models,
        OptionalLong requestTokens) {
    public EnginePool {
        models = Map.copyOf(models);
    }

    /** Creates a pool of engines that do not state how many tokens their memory holds. */
    public EnginePool(
            String service, long memoryBytes, int adapterSlots, double loadsPerSecond, Map<ModelId, Duration> models) {
        this(service, memoryBytes, adapterSlots, loadsPerSecond, models, OptionalLong.empty());
    }
}
