package org.basilrill.api;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A clock and scheduler whose time is advanced explicitly, to run many instances in one process deterministically.
 * Tasks due at the same time run in the order they were scheduled, on the thread that advances the clock. Thread safe.
 */
public final class VirtualTime implements MonotonicClock, Scheduler {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::sequence));
    private long nowNanos;
    private long scheduled;

    @Override
    public synchronized long nanos() {
        return nowNanos;
    }

    @Override
    public synchronized Cancellable schedule(Duration delay, Runnable action) {
        Task task = new Task(nowNanos + delay.toNanos(), scheduled++, action);
        tasks.add(task);
        return () -> cancel(task);
    }

    /** Runs every task that is due within the duration, and advances the clock to its end. */
    public void advance(Duration duration) {
        long end = nanos() + duration.toNanos();
        Optional<Task> task = nextDue(end);
        while (task.isPresent()) {
            task.get().action().run();
            task = nextDue(end);
        }
    }

    /** Returns the number of tasks that are not due yet. */
    public synchronized int scheduled() {
        return tasks.size();
    }

    private synchronized void cancel(Task task) {
        tasks.remove(task);
    }

    /**
     * Removes and returns the next task due by the end. Advances the clock to its due time, or to the end without a
     * task.
     */
    private synchronized Optional<Task> nextDue(long endNanos) {
        if (tasks.isEmpty() || tasks.peek().dueNanos() > endNanos) {
            nowNanos = Math.max(nowNanos, endNanos);
            return Optional.empty();
        }
        Task task = tasks.poll();
        nowNanos = Math.max(nowNanos, task.dueNanos());
        return Optional.of(task);
    }

    /** A task with its due time and its position among tasks due at the same time. */
    private record Task(long dueNanos, long sequence, Runnable action) {}
}
