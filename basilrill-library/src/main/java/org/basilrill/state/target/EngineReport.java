package org.basilrill.state.target;

import java.util.Set;
import org.basilrill.api.ModelId;

/**
 * State that an engine reported some hundred milliseconds ago. Immutable and thread safe.
 *
 * @param contents resident models and adapters
 * @param loadingAdapters adapters that are loading
 * @param localWeights models cached in the memory or on the disk of its machine, which load without the weight store
 * @param busy whether it is carrying out a target order for a model
 * @param acceptedOrders number of target orders accepted since its start
 */
public record EngineReport(
        Set<ModelId> contents,
        Set<ModelId> loadingAdapters,
        Set<ModelId> localWeights,
        boolean busy,
        long acceptedOrders) {
    public EngineReport {
        contents = Set.copyOf(contents);
        loadingAdapters = Set.copyOf(loadingAdapters);
        localWeights = Set.copyOf(localWeights);
    }
}
