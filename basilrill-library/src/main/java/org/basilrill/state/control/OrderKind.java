package org.basilrill.state.control;

/** What an order asks of a target. */
public enum OrderKind {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    UNLOAD_ADAPTER,
    CHANGE_ROLE
}
