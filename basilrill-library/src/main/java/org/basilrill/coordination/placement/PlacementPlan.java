package org.basilrill.coordination.placement;

import java.util.List;
import org.basilrill.api.ModelId;

/**
 * Result of a planning run. Immutable and thread safe.
 *
 * @param orders target orders to submit now
 * @param waitingLoads loads that cannot start yet, in the order in which they will start
 */
public record PlacementPlan(List<PlacementOrder> orders, List<WaitingLoad> waitingLoads) {
    public PlacementPlan {
        orders = List.copyOf(orders);
        waitingLoads = List.copyOf(waitingLoads);
    }

    /** Resource that a load waits for. */
    public enum Obstacle {
        STORE_LIMIT,
        ADAPTER_LIMIT,
        MEMORY_BEING_FREED,
        MEMORY
    }

    /** A load that cannot start yet. */
    public record WaitingLoad(ModelId model, PlacementReason reason, Obstacle obstacle) {}
}
