package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;

/** A clock and a scheduler that move only when told. Not thread safe. */
final class VirtualTime implements MonotonicClock, Scheduler {
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atNanos).thenComparingLong(Entry::number));
    private long nanos = 1_000;
    private long numbers;

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Entry entry = new Entry(nanos + delay.toNanos(), numbers++, task);
        entries.add(entry);
        return () -> entries.remove(entry);
    }

    void advance(Duration duration) {
        long end = nanos + duration.toNanos();
        while (!entries.isEmpty() && entries.peek().atNanos() <= end) {
            Entry next = entries.remove();
            nanos = Math.max(nanos, next.atNanos());
            next.task().run();
        }
        nanos = end;
    }

    int scheduled() {
        return entries.size();
    }

    /** A task and its time. */
    private record Entry(long atNanos, long number, Runnable task) {}
}
