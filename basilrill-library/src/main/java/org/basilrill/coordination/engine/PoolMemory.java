package org.basilrill.coordination.engine;

import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.configuration.Rules;

/** Compares the sizes of models with the memory of the engines of a pool. Immutable; follows the engines passed. */
record PoolMemory(Rules rules, EnginePool pool) {
    /**
     * Returns whether the model fits into the memory of the engine in addition to the model that memory is reserved
     * for.
     */
    boolean fits(EngineState engine, ModelId model) {
        long reserved = engine.reservedModel()
                .filter(other -> !other.equals(model))
                .map(this::bytes)
                .orElse(0L);
        return engine.usedBytes(rules) + reserved + bytes(model) <= pool.memoryBytes();
    }

    /** Returns whether a model fits into the memory of the engine once another one is unloaded. */
    boolean fitsInsteadOf(EngineState engine, ModelId resident, ModelId next) {
        return engine.usedBytes(rules) - bytes(resident) + bytes(next) <= pool.memoryBytes();
    }

    private long bytes(ModelId model) {
        return Optional.ofNullable(rules.models().get(model))
                .map(Rules.Model::memoryBytes)
                .orElse(Long.MAX_VALUE / 4);
    }
}
