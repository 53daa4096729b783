package org.basilrill.state.target;

/**
 * What a target states about itself in a response, whatever the request. Immutable and thread safe.
 *
 * @param leaving whether the target is about to stop and wants no new requests
 */
public record TargetNotices(boolean leaving) {
    /** The notices of a response that states nothing. */
    public static final TargetNotices NONE = new TargetNotices(false);
}
