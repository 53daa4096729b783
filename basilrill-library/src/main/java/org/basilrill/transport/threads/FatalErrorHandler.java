package org.basilrill.transport.threads;

import com.google.common.flogger.FluentLogger;
import java.util.function.IntConsumer;
import org.basilrill.api.LogEvent;

/**
 * Ends the process after an error of the virtual machine in any thread, so that it is started again. A thread that
 * serves connections does not survive such an error, and a process without it accepts nothing and lives on. Exceptions
 * are left to the threads. Thread safe.
 */
public final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
    /** Exit code of a process that ends after an error. */
    public static final int EXIT_CODE = 70;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final IntConsumer halt;
    private final Thread.UncaughtExceptionHandler exceptions;

    FatalErrorHandler(IntConsumer halt, Thread.UncaughtExceptionHandler exceptions) {
        this.halt = halt;
        this.exceptions = exceptions;
    }

    /** Makes all threads of the process use a handler that halts the process. */
    public static void install() {
        Thread.setDefaultUncaughtExceptionHandler(
                new FatalErrorHandler(Runtime.getRuntime()::halt, FatalErrorHandler::logException));
    }

    /** Returns a task that reports errors to the handler of its thread; executors for timers swallow them. */
    public static Runnable reportingErrors(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (Error error) {
                Thread current = Thread.currentThread();
                current.getUncaughtExceptionHandler().uncaughtException(current, error);
                throw error;
            }
        };
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        if (!(failure instanceof Error)) {
            exceptions.uncaughtException(thread, failure);
            return;
        }
        // Written directly: the log has a queue, which may need memory and is not written before the end.
        try {
            System.err.println(LogEvent.PROCESS_ENDED + " in thread " + thread.getName() + ": " + failure);
            failure.printStackTrace();
        } finally {
            halt.accept(EXIT_CODE);
        }
    }

    private static void logException(Thread thread, Throwable exception) {
        LOGGER.atSevere().withCause(exception).log("%s in thread %s", LogEvent.INTERNAL_FAILURE, thread.getName());
    }
}
