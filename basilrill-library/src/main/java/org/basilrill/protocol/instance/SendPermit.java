package org.basilrill.protocol.instance;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Decides once per attempt whether bytes may be sent to the target. Either the connector acquires the permit or the
 * coordinator revokes it, never both, so that {@code not_run} stays true while a connection is being opened. Thread
 * safe.
 */
final class SendPermit {
    private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

    /** Acquires the permit; returns false if it was revoked. */
    boolean acquire() {
        return state.compareAndSet(State.OPEN, State.ACQUIRED) || state.get() == State.ACQUIRED;
    }

    /** Revokes the permit; returns false if bytes may have been sent. */
    boolean revoke() {
        return state.compareAndSet(State.OPEN, State.REVOKED) || state.get() == State.REVOKED;
    }

    /** Whether the permit was acquired or revoked. */
    private enum State {
        OPEN,
        ACQUIRED,
        REVOKED
    }
}
