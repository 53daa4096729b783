package org.basilrill.api;

import java.time.Duration;

/** Runs tasks after a delay. Implementations are thread safe. Tests supply one that is driven by a virtual clock. */
@FunctionalInterface
public interface Scheduler {
    /**
     * Runs the task once after the delay.
     *
     * @return a handle that cancels the task if it has not started yet
     */
    Cancellable schedule(Duration delay, Runnable task);

    /** Cancels a scheduled task; has no effect once the task has started. */
    @FunctionalInterface
    interface Cancellable {
        /** Cancels the task. Safe to call more than once. */
        void cancel();
    }
}
