package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;

/** A virtual clock that jumps from one scheduled action to the next. Not thread safe. */
final class SimulatedTime implements MonotonicClock, Scheduler {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::number));
    private long now;
    private long number;

    @Override
    public long nanos() {
        return now;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return at(now + delay.toNanos(), task);
    }

    Cancellable at(long dueNanos, Runnable task) {
        Event event = new Event(dueNanos, number++, task);
        events.add(event);
        return () -> events.remove(event);
    }

    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().dueNanos() <= endNanos) {
            Event event = events.poll();
            now = Math.max(now, event.dueNanos());
            event.task().run();
        }
        now = endNanos;
    }

    /** One scheduled action. */
    private record Event(long dueNanos, long number, Runnable task) {}
}
