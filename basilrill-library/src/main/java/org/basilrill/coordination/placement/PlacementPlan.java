package org.basilrill.coordination.placement;

import java.util.List;
import org.basilrill.api.ModelId;

/**
 * What the placement decided. Immutable and thread safe.
 *
 * @param moves orders to give now
 * @param waiting loads that cannot begin yet, in the order in which they will
 */
public record PlacementPlan(List<Move> moves, List<WaitingLoad> waiting) {
    public PlacementPlan {
        moves = List.copyOf(moves);
        waiting = List.copyOf(waiting);
    }

    /** What a load waits for. */
    public enum Obstacle {
        STORE_LIMIT,
        ADAPTER_LIMIT,
        MEMORY_BEING_FREED,
        MEMORY
    }

    /** A load that cannot begin yet. */
    public record WaitingLoad(ModelId model, MoveReason reason, Obstacle obstacle) {}
}
