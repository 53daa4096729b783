package org.basilrill.state.control;

/**
 * The answer of a finished order, kept to be replayed. Immutable; the body must not be modified.
 *
 * @param status HTTP status of the target's answer
 * @param body empty if it was too large to keep
 * @param complete whether the body is the whole answer
 */
public record RecordedAnswer(int status, String contentType, byte[] body, boolean complete) {
    /** Longest body that is kept, in bytes. */
    public static final int MAXIMUM_BODY_BYTES = 64 * 1024;
}
