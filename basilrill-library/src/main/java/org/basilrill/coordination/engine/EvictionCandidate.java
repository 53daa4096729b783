package org.basilrill.coordination.engine;

import java.util.Comparator;
import java.util.Optional;
import org.basilrill.api.ModelId;

/**
 * A copy that could be evicted. Immutable.
 *
 * @param successorIsLocal whether the engine has the weights of the successor locally, so that it loads in a
 *     fraction of the time
 * @param loss cost of the eviction, in tokens per second
 */
record EvictionCandidate(EngineState engine, ModelId model, boolean successorIsLocal, double loss) {
    static final Comparator<EvictionCandidate> BEST_FIRST = Comparator.comparing(
                    (EvictionCandidate candidate) -> !candidate.successorIsLocal())
            .thenComparingDouble(EvictionCandidate::loss);

    /** Returns the better one of two candidates. */
    static Optional<EvictionCandidate> better(Optional<EvictionCandidate> best, EvictionCandidate other) {
        return best.filter(current -> BEST_FIRST.compare(current, other) <= 0).or(() -> Optional.of(other));
    }
}
