package org.basilrill.protocol.instance;

import org.basilrill.protocol.caller.AnswerHead;

/**
 * The way back to one caller. The coordinator calls {@link #start} at most once, then {@link #write} any number of
 * times, then exactly one of {@link #end} and {@link #abort}; never two methods at a time. Implementations do not
 * block and keep what the caller has not taken yet.
 */
public interface CallerStream {
    /** Sends the head of the answer. */
    void start(AnswerHead head);

    /**
     * Sends part of the body. Once the caller's connection took it, the implementation reports so by
     * {@link RunningRequest#taken}.
     */
    void write(byte[] bytes);

    /** Ends the answer. */
    void end();

    /** Cuts the answer, so that the caller sees that it is not complete. */
    void abort();
}
