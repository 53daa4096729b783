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
 * they need is about to be there. After a bounded time requests are no longer kept. Thread safe: guarded by its own
 * lock, which is not held while requests are started.
 */
final class StartingRequests {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Covers an election after the loss of all replicas, and the first pull. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);

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

    /** Keeps a request until the rules are known, or the wait is over. */
    RunningRequest keep(Starter starter, CallerStream caller) {
        KeptRequest request = new KeptRequest(starter, caller, clock.nanos());
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
        List<KeptRequest> released;
        synchronized (kept) {
            if (open) {
                scheduler.schedule(CHECK_INTERVAL, this::check);
                return;
            }
            released = List.copyOf(kept);
            kept.clear();
        }
        LOGGER.atInfo().log("%s: %d", LogEvent.KEPT_REQUESTS_STARTED, released.size());
        released.forEach(KeptRequest::release);
    }

    /** A request that waits to be started. Thread safe: guarded by its own lock. */
    private final class KeptRequest implements RunningRequest {
        private final Starter starter;
        private final CallerStream caller;
        private final long sinceNanos;
        private Optional<RunningRequest> started = Optional.empty();
        private boolean gone;

        KeptRequest(Starter starter, CallerStream caller, long sinceNanos) {
            this.starter = starter;
            this.caller = caller;
            this.sinceNanos = sinceNanos;
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
