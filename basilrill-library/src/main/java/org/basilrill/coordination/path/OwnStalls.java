package org.basilrill.coordination.path;

import java.time.Duration;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;

/**
 * Detects that this instance did not run for a while, as it was frozen or got no processor. A target may have ended
 * and started again meanwhile, and a check after the stall finds it accepting connections. Thread safe.
 */
final class OwnStalls {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    /** Shorter than the start of a process, longer than usual delays of a timer. */
    private static final Duration SHORTEST_STALL = Duration.ofMillis(200);
    /** Events from the time of a stall are handled within this time after it. */
    private static final Duration BACKLOG = Duration.ofSeconds(1);

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private volatile long lastTickNanos;
    private volatile long countsUntilNanos;
    private volatile boolean stopped;

    OwnStalls(MonotonicClock clock, Scheduler scheduler) {
        this.clock = clock;
        this.scheduler = scheduler;
        lastTickNanos = clock.nanos();
        countsUntilNanos = lastTickNanos;
    }

    void start() {
        lastTickNanos = clock.nanos();
        scheduler.schedule(TICK_INTERVAL, this::tick);
    }

    void stop() {
        stopped = true;
    }

    /** Returns whether an event that is handled now may have happened some hundred milliseconds ago. */
    boolean stalledLately() {
        long now = clock.nanos();
        return isLate(now) || now - countsUntilNanos < 0;
    }

    private void tick() {
        if (stopped) {
            return;
        }
        long now = clock.nanos();
        if (isLate(now)) {
            countsUntilNanos = now + BACKLOG.toNanos();
        }
        lastTickNanos = now;
        scheduler.schedule(TICK_INTERVAL, this::tick);
    }

    private boolean isLate(long nowNanos) {
        return nowNanos - lastTickNanos >= TICK_INTERVAL.plus(SHORTEST_STALL).toNanos();
    }
}
