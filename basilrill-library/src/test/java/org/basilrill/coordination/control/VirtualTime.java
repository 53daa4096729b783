package org.basilrill.coordination.control;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;

/** A clock and scheduler that move only when told to; tasks of the same time run in the order of scheduling. */
final class VirtualTime implements MonotonicClock, Scheduler {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::nanos).thenComparingLong(Task::number));
    private long now = 1_000;
    private long scheduled;

    @Override
    public long nanos() {
        return now;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Task entry = new Task(now + delay.toNanos(), scheduled++, task);
        tasks.add(entry);
        return () -> tasks.remove(entry);
    }

    void advance(Duration duration) {
        long end = now + duration.toNanos();
        while (!tasks.isEmpty() && tasks.peek().nanos() <= end) {
            Task next = tasks.poll();
            now = next.nanos();
            next.action().run();
        }
        now = end;
    }

    /** One scheduled task. */
    private record Task(long nanos, long number, Runnable action) {}
}
