package org.basilrill.coordination.path;

import org.basilrill.state.target.TargetAnnouncement;

/**
 * Receives what the exchanges of this instance show of restarts of targets. Implementations are thread safe and never
 * block.
 */
@FunctionalInterface
public interface RestartEvidence {
    /** Reports a target that refused a connection, while not all paths are presumed to be lost. */
    void connectionRefused(TargetAnnouncement target);

    /**
     * Reports a target that may have ended and started again unseen: a connection to it was lost while this instance
     * itself did not run, or failed to open without a refusal.
     */
    default void restartMayBeMissed(TargetAnnouncement target) {
        // Only the coordination of restarts needs it.
    }

    /**
     * Reports that an exchange received further bytes, so that the target has not started again since its first ones.
     *
     * @param target as it was announced when the exchange began
     * @param receivingSinceNanos when the exchange received its first bytes, on the monotonic clock
     */
    default void exchangeContinues(TargetAnnouncement target, long receivingSinceNanos) {
        // Only the coordination of restarts needs it.
    }
}
