package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;

/**
 * Keeps the requests that arrive before a starting instance knows its rules. It learns them within moments, or within
 * about a second if the control log has to elect a leader first; a refusal would send callers away although all that
 * they need is about to be there. None is kept past the time for which its caller waits, nor at all after a bounded
 * time. Thread safe: guarded by its own
 * lock, which is not held while requests are started.
 */
final class StartingRequests {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Covers an election after the loss of all replicas, and the first pull. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);

    /** Covers two checks and the way to the caller. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(30);

    private final BooleanSupplier ready;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final long endNanos;
    private final List<KeptRequest> kept = new ArrayList<>();
    private volatile boolean over;

    /**
     * Begins to keep requests.
     *
     * @param ready whether the rules are known and confirmed
     */
    StartingRequests(BooleanSupplier ready, MonotonicClock clock, Scheduler scheduler) {
        this.ready = ready;
        this.clock = clock;
        this.scheduler = scheduler;
        endNanos = clock.nanos() + LONGEST_WAIT.toNanos();
        over = ready.getAsBoolean();
    }

    /** Starts a request that was kept. */
    @FunctionalInterface
    interface Starter {
        /**
         * Starts the request.
         *
         * @param keptFor time for which its caller has waited
         */
        RunningRequest start(Duration keptFor);
    }

    /** Returns whether requests that arrive now are to be kept. */
    boolean isOpen() {
        if (!over && (ready.getAsBoolean() || clock.nanos() - endNanos >= 0)) {
            over = true;
        }
        return !over;
    }

    /**
     * Keeps a request until the rules are known, or the wait is over.
     *
     * @param timeLeft how long the caller waits for the answer, if it says so
     */
    RunningRequest keep(Starter starter, CallerStream caller, Optional<Duration> timeLeft) {
        long now = clock.nanos();
        // The answer of the last moment still has to reach the caller in time.
        long latest =
                timeLeft.map(left -> now + left.minus(ANSWER_TIME).toNanos()).orElse(endNanos);
        KeptRequest request = new KeptRequest(starter, caller, now, latest);
        synchronized (kept) {
            kept.add(request);
            if (kept.size() == 1) {
                scheduler.schedule(CHECK_INTERVAL, this::check);
            }
        }
        return request;
    }

    private void check() {
        boolean open = isOpen();
        long now = clock.nanos();
        List<KeptRequest> released;
        synchronized (kept) {
            released = kept.stream()
                    .filter(request -> !open || now - request.latestNanos >= 0)
                    .toList();
            kept.removeAll(released);
            if (!kept.isEmpty()) {
                scheduler.schedule(CHECK_INTERVAL, this::check);
            }
        }
        if (!released.isEmpty()) {
            LOGGER.atInfo().log("%s: %d", LogEvent.KEPT_REQUESTS_STARTED, released.size());
        }
        released.forEach(KeptRequest::release);
    }

    /** A request that waits to be started. Thread safe: guarded by its own lock. */
    private final class KeptRequest implements RunningRequest {
        private final Starter starter;
        private final CallerStream caller;
        private final long sinceNanos;
        private final long latestNanos;
        private Optional<RunningRequest> started = Optional.empty();
        private boolean gone;

        KeptRequest(Starter starter, CallerStream caller, long sinceNanos, long latestNanos) {
            this.starter = starter;
            this.caller = caller;
            this.sinceNanos = sinceNanos;
            this.latestNanos = latestNanos;
        }

        synchronized void release() {
            if (!gone) {
                started = Optional.of(starter.start(Duration.ofNanos(clock.nanos() - sinceNanos)));
            }
        }

        @Override
        public synchronized void taken(int bytes) {
            started.ifPresent(running -> running.taken(bytes));
        }

        @Override
        public synchronized void callerGone() {
            if (started.isPresent()) {
                started.get().callerGone();
            } else if (!gone) {
                gone = true;
                caller.abort();
            }
        }
    }
}
