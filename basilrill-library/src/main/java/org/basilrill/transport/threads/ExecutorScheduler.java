package org.basilrill.transport.threads;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Scheduler;

/**
 * Runs timers on one thread and their tasks on a pool, so that a slow task does not delay other timers. Thread safe.
 * Tasks are dropped after shutdown of either executor.
 */
public final class ExecutorScheduler implements Scheduler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ScheduledExecutorService timer;
    private final Executor pool;

    /** Creates a scheduler. It does not shut down the executors. */
    public ExecutorScheduler(ScheduledExecutorService timer, Executor pool) {
        this.timer = timer;
        this.pool = pool;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        try {
            ScheduledFuture<?> future = timer.schedule(
                    FatalErrorHandler.reportingErrors(() -> submit(task)), delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException exception) {
            return () -> {};
        }
    }

    private void submit(Runnable task) {
        try {
            pool.execute(() -> run(task));
        } catch (RejectedExecutionException exception) {
            LOGGER.atFine().log("task dropped after shutdown");
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("%s in a scheduled task", LogEvent.INTERNAL_FAILURE);
        }
    }
}
