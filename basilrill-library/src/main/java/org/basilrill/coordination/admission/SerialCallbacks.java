package org.basilrill.coordination.admission;

import com.google.common.flogger.FluentLogger;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilrill.api.LogEvent;

/**
 * Runs callbacks one at a time in the order in which they were added, on one of the threads that add them. Callbacks
 * added by a running callback are not run recursively: a chain of targets that fail immediately would overflow the
 * stack. Thread safe.
 */
final class SerialCallbacks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Queue<Runnable> callbacks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    void add(Runnable callback) {
        callbacks.add(callback);
    }

    /**
     * Runs the added callbacks. Returns immediately if another thread, or an outer call on this thread, is already
     * running them.
     */
    void run() {
        if (pending.getAndIncrement() > 0) {
            return;
        }
        int handledCalls = 1;
        do {
            for (Runnable callback = callbacks.poll(); callback != null; callback = callbacks.poll()) {
                runOne(callback);
            }
            handledCalls = pending.addAndGet(-handledCalls);
        } while (handledCalls > 0);
    }

    private static void runOne(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException failure) {
            LOGGER.atSevere().withCause(failure).log("%s", LogEvent.DISPATCH_CALLBACK_FAILED);
        }
    }
}
