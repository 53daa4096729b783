package org.basilrill.coordination.placement;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.PlacementPlan.WaitingLoad;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;

/**
 * Status of the placement for operators. Immutable and thread safe.
 *
 * @param active whether this replica controls the placement; if not, reasons and waiting loads are empty
 * @param waiting loads that cannot start yet, in the order in which they will start
 */
public record PlacementStatus(
        boolean active,
        List<ModelStatus> models,
        List<MemoryStatus> targets,
        List<OrderStatus> openOrders,
        List<WaitingLoad> waiting) {
    public PlacementStatus {
        models = List.copyOf(models);
        targets = List.copyOf(targets);
        openOrders = List.copyOf(openOrders);
        waiting = List.copyOf(waiting);
    }

    /**
     * Copies of one model or adapter.
     *
     * @param readyOn targets that are ready for it
     */
    public record ModelStatus(ModelId model, List<TargetId> readyOn, ModelDemand demand) {
        public ModelStatus {
            readyOn = List.copyOf(readyOn);
        }
    }

    /** Memory of one target in the ledger, in bytes. */
    public record MemoryStatus(TargetId target, long capacityBytes, long reservedBytes, boolean announced) {}

    /** One target order that is open or not committed yet; the reason is known only for orders of this controller. */
    public record OrderStatus(OpenOrder order, boolean committed, Optional<PlacementReason> reason) {}
}
