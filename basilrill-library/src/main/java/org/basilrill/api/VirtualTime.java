package org.basilrill.api;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock and scheduler that the caller moves on, to run many instances in one process deterministically. Tasks due at
 * the same time run in the order they were scheduled. Not thread safe.
 */
public final class VirtualTime implements MonotonicClock, Scheduler {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::order));
    private long nowNanos;
    private long scheduled;

    @Override
    public long nanos() {
        return nowNanos;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable action) {
        Task task = new Task(nowNanos + delay.toNanos(), scheduled++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Runs every task that is due within the duration, and moves the clock to its end. */
    public void advance(Duration duration) {
        long end = nowNanos + duration.toNanos();
        while (!tasks.isEmpty() && tasks.peek().dueNanos() <= end) {
            Task task = tasks.poll();
            nowNanos = Math.max(nowNanos, task.dueNanos());
            task.action().run();
        }
        nowNanos = end;
    }

    /** A task with its due time and its place among tasks due at the same time. */
    private record Task(long dueNanos, long order, Runnable action) {}
}
