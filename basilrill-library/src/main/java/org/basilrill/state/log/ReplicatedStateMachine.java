package org.basilrill.state.log;

/**
 * Deterministic state machine that applies the commands of the control log. The same commands in the same sequence give
 * the same state and the same results on every replica. Called by one thread at a time.
 */
public interface ReplicatedStateMachine {
    /**
     * Applies one committed command.
     *
     * @param index position in the log, increasing
     * @return the encoded result for the submitter
     */
    byte[] apply(long index, byte[] command);

    /** Returns the encoded state after the last applied command. */
    byte[] snapshot();

    /** Replaces the state by that of an encoded snapshot. */
    void restore(byte[] snapshot);
}
