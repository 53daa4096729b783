package org.basilrill.state.target;

import org.basilrill.api.ModelId;

/**
 * A target order that an engine carries out only if it is in the expected state. Immutable and thread safe.
 *
 * @param model model or adapter
 * @param fencingNumber the engine refuses the order if it has seen a higher number
 * @param expectedOrders number of orders that the engine must have accepted before; otherwise it refuses the order
 */
public record EngineOrder(Action action, ModelId model, long fencingNumber, long expectedOrders) {
    /** Operation that the order requests. */
    public enum Action {
        LOAD,
        UNLOAD
    }

    /** Response of an engine to an order. */
    public enum Response {
        /** The engine accepted the order and carries it out. */
        ACCEPTED,
        /** The engine is already in the state that the order requests. */
        HOLDS_ALREADY,
        /** Another order is in progress, or the engine has accepted other orders than expected. */
        CONFLICT,
        /** The fencing number is too low. */
        FENCED,
        /** The engine refused the order, or another engine responded. */
        REFUSED,
        /** It is not known whether the engine accepted the order. */
        UNKNOWN
    }
}
