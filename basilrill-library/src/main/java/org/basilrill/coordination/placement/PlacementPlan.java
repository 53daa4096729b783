package org.basilrill.coordination.placement;

import java.util.List;
import org.basilrill.api.ModelId;

/**
 * Result of a planning run. Immutable and thread safe.
 *
 * @param moves target orders to submit now
 * @param waiting loads that cannot start yet, in the order in which they will start
 */
public record PlacementPlan(List<Move> moves, List<WaitingLoad> waiting) {
    public PlacementPlan {
        moves = List.copyOf(moves);
        waiting = List.copyOf(waiting);
    }

    /** Resource that a load waits for. */
    public enum Obstacle {
        STORE_LIMIT,
        ADAPTER_LIMIT,
        MEMORY_BEING_FREED,
        MEMORY
    }

    /** A load that cannot start yet. */
    public record WaitingLoad(ModelId model, MoveReason reason, Obstacle obstacle) {}
}
