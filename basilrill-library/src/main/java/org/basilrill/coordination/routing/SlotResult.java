package org.basilrill.coordination.routing;

/** Result of the use of a slot, as far as it matters for routing. */
public enum SlotResult {
    SUCCEEDED,
    FAILED,
    /** No byte was received within the progress timeout; ejects the target at once. */
    TIMED_OUT,
    /** The target refused the request because it is full, without running it. */
    REFUSED_FULL,
    /** Ended for a reason unrelated to the health of the target. */
    CANCELLED
}
