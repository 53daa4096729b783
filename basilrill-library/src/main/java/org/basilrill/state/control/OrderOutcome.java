package org.basilrill.state.control;

/** What a target says became of an order. */
public enum OrderOutcome {
    DONE,
    FAILED,
    /** The target refused the order because it has seen a higher fencing number; it had no effect and never will. */
    REFUSED_STALE
}
