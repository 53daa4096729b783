package org.basilrill.state.control;

/**
 * Response to a finished order, recorded so that it can be replayed. Immutable; the body must not be modified.
 *
 * @param status HTTP status of the target's response
 * @param body empty if it was too large to be recorded
 * @param complete whether the body is the whole body of the response
 */
public record RecordedResponse(int status, String contentType, byte[] body, boolean complete) {
    /** Longest body that is recorded, in bytes. */
    public static final int MAXIMUM_BODY_BYTES = 64 * 1024;
}
