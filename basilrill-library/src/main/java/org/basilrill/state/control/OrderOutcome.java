package org.basilrill.state.control;

/** Outcome of a target order, as reported by the target. */
public enum OrderOutcome {
    DONE,
    FAILED,
    /**
     * The target refused the order because it has seen a higher fencing number. The order had no effect and never will.
     */
    REFUSED_STALE
}
