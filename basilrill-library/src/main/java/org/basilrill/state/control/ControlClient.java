package org.basilrill.state.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Client of the control log, used by every instance wherever the replicas run. Implementations are thread safe. */
public interface ControlClient {
    /**
     * Submits a command and repeats it until the log returns a result or the deadline passes.
     *
     * @return the result; fails with {@code CONTROL_UNAVAILABLE} if the deadline passes first, in which case the
     *     command may still take effect
     */
    CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline);

    /** Returns the last view received from the log; its index never decreases. */
    ControlView view();

    /**
     * Returns whether the log confirmed this instance's view within the freshness bound. The bound is counted from the
     * time at which the confirmed request was sent.
     */
    boolean isCurrent();

    /**
     * Returns the time since the last confirmed request for the view was sent; empty before the first confirmation.
     */
    Optional<Duration> confirmationAge();

    /** Returns the session of this instance; 0 while it has none. */
    long sessionId();

    /**
     * Returns whether the session lease of this instance is certainly still valid. The lease is counted from the time
     * at which the last confirmed request was sent.
     */
    boolean holdsSession();

    /** Calls the listener after each newly installed view, on a thread of the client. */
    void onView(java.util.function.Consumer<ControlView> listener);
}
