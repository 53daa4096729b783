package org.basilrill.coordination.routing;

/** How the use of a slot ended, as far as routing is concerned. */
public enum SlotResult {
    SUCCEEDED,
    FAILED,
    /** No byte came within the progress deadline; ejects the target at once. */
    TIMED_OUT,
    /** The target answered that it is full and ran nothing. */
    REFUSED_FULL,
    /** Ended for a reason that says nothing about the target. */
    CANCELLED
}
