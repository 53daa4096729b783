package org.basilrill.state.log;

/**
 * The deterministic state machine that the control log drives. The same commands in the same order give the same
 * state and the same results on every replica. Called by one thread at a time.
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

    /** Replaces the state by an encoded snapshot. */
    void restore(byte[] snapshot);
}
