package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilrill.api.LogEvent;

/**
 * Runs tasks one at a time, in order, on the thread that adds the first of them. No lock is held while a task runs, so
 * a task may call other components. The failure of a task is logged and reported; the later tasks still run. Thread
 * safe.
 */
final class SerialExecutor implements Executor {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final Runnable afterFailure;

    SerialExecutor(Runnable afterFailure) {
        this.afterFailure = afterFailure;
    }

    /** Runs the task immediately, or after the tasks that were added before it. */
    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() > 0) {
            return;
        }
        do {
            if (!runSafely(tasks.remove())) {
                runSafely(afterFailure);
            }
        } while (pending.decrementAndGet() > 0);
    }

    private static boolean runSafely(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("%s", LogEvent.INTERNAL_FAILURE);
            return false;
        }
    }
}
