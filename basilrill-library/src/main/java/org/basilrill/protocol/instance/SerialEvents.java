package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilrill.api.LogEvent;

/**
 * Runs events one at a time, in order, on the thread that adds the first of them. No lock is held while an event runs,
 * so an event may call out to anything. An event that fails is logged and reported; the later ones still run. Thread
 * safe.
 */
final class SerialEvents implements Executor {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final Runnable afterFailure;

    SerialEvents(Runnable afterFailure) {
        this.afterFailure = afterFailure;
    }

    /** Runs the event now, or after the events that were added before it. */
    @Override
    public void execute(Runnable event) {
        events.add(event);
        if (pending.getAndIncrement() > 0) {
            return;
        }
        do {
            if (!succeeds(events.remove())) {
                succeeds(afterFailure);
            }
        } while (pending.decrementAndGet() > 0);
    }

    private static boolean succeeds(Runnable event) {
        try {
            event.run();
            return true;
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("%s", LogEvent.INTERNAL_FAILURE);
            return false;
        }
    }
}
