package org.basilrill.protocol.caller;

/**
 * Sends the response to one caller. The coordinator calls {@link #start} at most once, then {@link #write} any number
 * of times, then exactly one of {@link #end} and {@link #abort}; it never calls two methods concurrently.
 * Implementations do not block and buffer what was not written to the caller's connection yet.
 */
public interface CallerStream {
    /** Sends the head of the response. */
    void start(ResponseHead head);

    /**
     * Sends part of the body. Once the bytes were written to the caller's connection, the implementation calls
     * {@link RunningRequest#bytesWritten}.
     */
    void write(byte[] bytes);

    /** Ends the response. */
    void end();

    /** Aborts the response, so that the caller detects that it is incomplete. */
    void abort();
}
