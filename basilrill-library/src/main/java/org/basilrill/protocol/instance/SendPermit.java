package org.basilrill.protocol.instance;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Decides, once per attempt, whether bytes may leave. Either the connector takes the permit or the coordinator revokes
 * it, never both, so that {@code not_run} stays true while a connection is being opened. Thread safe.
 */
final class SendPermit {
    private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

    /** Takes the permit to send; false if it was revoked. */
    boolean take() {
        return state.compareAndSet(State.OPEN, State.TAKEN) || state.get() == State.TAKEN;
    }

    /** Revokes the permit; false if a byte may have left. */
    boolean revoke() {
        return state.compareAndSet(State.OPEN, State.REVOKED) || state.get() == State.REVOKED;
    }

    /** Who decided first. */
    private enum State {
        OPEN,
        TAKEN,
        REVOKED
    }
}
