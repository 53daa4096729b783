package org.basilrill.coordination;

import java.time.Duration;
import java.util.Comparator;
import java.util.TreeSet;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;

/** A clock and scheduler that move only when told to. Thread safe; tasks run on the thread that moves time. */
public final class VirtualTime implements MonotonicClock, Scheduler {
    private final TreeSet<Task> tasks =
            new TreeSet<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::number));
    private long now;
    private long number;

    @Override
    public synchronized long nanos() {
        return now;
    }

    @Override
    public synchronized Cancellable schedule(Duration delay, Runnable action) {
        Task task = new Task(now + delay.toNanos(), number++, action);
        tasks.add(task);
        return () -> remove(task);
    }

    /** Moves time forward and runs what becomes due, in order. */
    public void advance(Duration duration) {
        long end = nanos() + duration.toNanos();
        for (Task task = nextUntil(end); task != null; task = nextUntil(end)) {
            task.action().run();
        }
    }

    /** Returns how many tasks are scheduled. */
    public synchronized int scheduled() {
        return tasks.size();
    }

    private synchronized Task nextUntil(long end) {
        if (tasks.isEmpty() || tasks.first().dueNanos() > end) {
            now = end;
            return null;
        }
        Task task = tasks.pollFirst();
        now = Math.max(now, task.dueNanos());
        return task;
    }

    private synchronized void remove(Task task) {
        tasks.remove(task);
    }

    /** One scheduled action. */
    private record Task(long dueNanos, long number, Runnable action) {}
}
