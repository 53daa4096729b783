package org.basilrill.state.target;

import org.basilrill.api.ModelId;

/**
 * An order to an engine that it carries out only in the expected state. Immutable and thread safe.
 *
 * @param model model or adapter
 * @param fencingNumber an engine refuses an order with a lower number than one it has seen
 * @param expectedOrders orders that the engine must have accepted so far; it refuses the order otherwise
 */
public record EngineOrder(Action action, ModelId model, long fencingNumber, long expectedOrders) {
    /** What the engine is to do. */
    public enum Action {
        LOAD,
        UNLOAD
    }

    /** How an engine answers an order. */
    public enum Answer {
        /** The engine carries the order out. */
        ACCEPTED,
        /** The state that the order asks for holds already. */
        HOLDS_ALREADY,
        /** Another order is in progress, or the engine has accepted other orders than expected. */
        CONFLICT,
        /** The fencing number is too low. */
        FENCED,
        /** The engine does not take the order, or is another one. */
        REFUSED,
        /** Whether the engine accepted the order is not known. */
        UNKNOWN
    }
}
