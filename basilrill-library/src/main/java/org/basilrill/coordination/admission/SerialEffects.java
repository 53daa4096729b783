package org.basilrill.coordination.admission;

import com.google.common.flogger.FluentLogger;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilrill.api.LogEvent;

/**
 * Runs callbacks one after the other in the order they were added, on one of the threads that add them. A callback that
 * leads to further callbacks does not recurse: a chain of targets that fail at once would otherwise overflow the stack.
 * Thread safe.
 */
final class SerialEffects {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Queue<Runnable> effects = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    void add(Runnable effect) {
        effects.add(effect);
    }

    /** Runs what was added; returns at once if another thread, or a caller up the stack, already does. */
    void run() {
        if (pending.getAndIncrement() > 0) {
            return;
        }
        int seen = 1;
        do {
            for (Runnable effect = effects.poll(); effect != null; effect = effects.poll()) {
                runOne(effect);
            }
            seen = pending.addAndGet(-seen);
        } while (seen > 0);
    }

    private static void runOne(Runnable effect) {
        try {
            effect.run();
        } catch (RuntimeException failure) {
            LOGGER.atSevere().withCause(failure).log("%s", LogEvent.DISPATCH_CALLBACK_FAILED);
        }
    }
}
