package org.basilrill.state.target;

import java.util.Set;
import org.basilrill.api.ModelId;

/**
 * State of an engine some hundred milliseconds ago. Immutable and thread safe.
 *
 * @param contents models and adapters that it holds
 * @param pending adapters on their way to it
 * @param atHand models with a copy in memory or on the disk of its machine, which load without the weight store
 * @param busy whether it carries out an order for a model
 * @param acceptedOrders orders accepted since its start
 */
public record EngineReport(
        Set<ModelId> contents, Set<ModelId> pending, Set<ModelId> atHand, boolean busy, long acceptedOrders) {
    public EngineReport {
        contents = Set.copyOf(contents);
        pending = Set.copyOf(pending);
        atHand = Set.copyOf(atHand);
    }
}
