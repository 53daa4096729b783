package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;

/** Virtual clock with a queue of actions, run in order of time on the calling thread. Not thread safe. */
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

    /** Runs all actions up to the given time and sets the clock to it. */
    public void runUntil(long nanos) {
        while (!actions.isEmpty() && actions.peek().nanos <= nanos) {
            Action action = actions.poll();
            now = action.nanos;
            action.task.run();
        }
        now = Math.max(now, nanos);
    }

    /** Runs all actions of the given time from now on. */
    public void runFor(Duration duration) {
        runUntil(now + duration.toNanos());
    }

    /** Returns the clock of one process: same speed, another origin. */
    public MonotonicClock clockWithOrigin(long origin) {
        return () -> now + origin;
    }

    /** Returns the scheduler of one process, whose tasks do not run once it has stopped. */
    public Scheduler schedulerOf(BooleanSupplier alive) {
        return (delay, task) -> schedule(delay, () -> {
            if (alive.getAsBoolean()) {
                task.run();
            }
        });
    }

    /** A task with its time; equal times run in order of their numbers. */
    private record Action(long nanos, long number, Runnable task) {}
}
