package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;

/** A virtual clock and a scheduler whose actions run in order of time on the calling thread. Not thread safe. */
public final class VirtualTime implements MonotonicClock, Scheduler {
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::nanos).thenComparingLong(Action::number));
    private long now;
    private long lastNumber;

    @Override
    public long nanos() {
        return now;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        boolean[] cancelled = new boolean[1];
        lastNumber++;
        actions.add(new Action(now + Math.max(0, delay.toNanos()), lastNumber, () -> {
            if (!cancelled[0]) {
                task.run();
            }
        }));
        return () -> cancelled[0] = true;
    }

    /** Runs all actions due up to the given time, then sets the clock to that time. */
    public void runUntil(long nanos) {
        while (!actions.isEmpty() && actions.peek().nanos <= nanos) {
            Action action = actions.poll();
            now = action.nanos;
            action.task.run();
        }
        now = Math.max(now, nanos);
    }

    /** Advances the clock by the given duration and runs all actions due by then. */
    public void runFor(Duration duration) {
        runUntil(now + duration.toNanos());
    }

    /** Returns the clock of one process, which differs from this one only by its origin. */
    public MonotonicClock clockWithOrigin(long origin) {
        return () -> now + origin;
    }

    /** Returns the scheduler of one process; its tasks do not run once the process has ended. */
    public Scheduler schedulerOf(BooleanSupplier alive) {
        return (delay, task) -> schedule(delay, () -> {
            if (alive.getAsBoolean()) {
                task.run();
            }
        });
    }

    /** A task with its due time. Tasks due at the same time run in order of their numbers. */
    private record Action(long nanos, long number, Runnable task) {}
}
