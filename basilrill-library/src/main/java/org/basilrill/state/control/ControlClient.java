package org.basilrill.state.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Gives an instance access to the control log, wherever its replicas run. Implementations are thread safe. */
public interface ControlClient {
    /**
     * Submits a command and repeats it until the log answers or the deadline passes.
     *
     * @return the result; fails with {@code CONTROL_UNAVAILABLE} if the deadline passes first, in which case the
     *     command may still take effect
     */
    CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline);

    /** Returns the last state received from the log; its revision never goes back. */
    ControlView view();

    /**
     * Returns whether the log confirmed this instance's state within the freshness bound. Counted from the
     * time at which
     * the confirmed question was sent.
     */
    boolean isCurrent();

    /** Returns the session of this instance; 0 while it has none. */
    long sessionId();

    /**
     * Returns whether the session lease of this instance surely holds; counted from the time at which the last
     * confirmed
     * question was sent.
     */
    boolean holdsSession();

    /** Calls the listener after each newly installed view, on a thread of the client. */
    void onView(java.util.function.Consumer<ControlView> listener);
}
