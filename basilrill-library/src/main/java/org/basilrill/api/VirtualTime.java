package org.basilrill.api;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A clock and scheduler that the caller moves on, to run many instances in one process deterministically. Tasks due at
 * the same time run in the order they were scheduled, on the thread that moves the clock. Thread safe.
 */
public final class VirtualTime implements MonotonicClock, Scheduler {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::order));
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

    /** Runs every task that is due within the duration, and moves the clock to its end. */
    public void advance(Duration duration) {
        long end = nanos() + duration.toNanos();
        Optional<Task> task = nextBefore(end);
        while (task.isPresent()) {
            task.get().action().run();
            task = nextBefore(end);
        }
    }

    /** Returns the number of tasks that wait for their time. */
    public synchronized int scheduled() {
        return tasks.size();
    }

    private synchronized void cancel(Task task) {
        tasks.remove(task);
    }

    /** Takes the next task due by the end and moves the clock to it, or to the end if there is none. */
    private synchronized Optional<Task> nextBefore(long endNanos) {
        if (tasks.isEmpty() || tasks.peek().dueNanos() > endNanos) {
            nowNanos = Math.max(nowNanos, endNanos);
            return Optional.empty();
        }
        Task task = tasks.poll();
        nowNanos = Math.max(nowNanos, task.dueNanos());
        return Optional.of(task);
    }

    /** A task with its due time and its place among tasks due at the same time. */
    private record Task(long dueNanos, long order, Runnable action) {}
}
