package org.basilrill.state.control;

/** Operation that a target order requests. */
public enum OrderKind {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    UNLOAD_ADAPTER,
    CHANGE_ROLE
}
