package org.basilrill.coordination.placement;

import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.OrderKind;

/**
 * One planned target order. Immutable and thread safe.
 *
 * @param bytes memory that the order reserves; 0 for an unload
 */
public record PlacementOrder(
        TargetId target,
        long targetIncarnation,
        OrderKind kind,
        ModelId model,
        int version,
        long bytes,
        PlacementReason reason) {
    /** Returns whether the order occupies a slot of the weight store. */
    public boolean loadsModel() {
        return kind == OrderKind.LOAD_MODEL;
    }
}
