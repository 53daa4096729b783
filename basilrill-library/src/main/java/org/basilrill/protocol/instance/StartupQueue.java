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
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.RunningRequest;

/**
 * Queues the requests that arrive before a starting instance has received its rules. The rules arrive shortly after the
 * start, or within about a second if the control log must elect a leader first; without the queue, callers would be
 * refused although their requests could be served soon. A request leaves the queue before its caller's deadline. The
 * queue closes once the rules are confirmed, or after a fixed time. Thread safe: guarded by its own lock, which is not
 * held while requests are started.
 */
final class StartupQueue {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Covers an election after a restart of all replicas, and the first pull of the rules. */
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);

    /** Covers two checks and the transmission of the response to the caller. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(30);

    private final BooleanSupplier ready;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final long endNanos;
    private final List<QueuedRequest> queuedRequests = new ArrayList<>();
    private volatile boolean closed;

    /**
     * Creates an open queue.
     *
     * @param ready returns whether the rules are known and confirmed
     */
    StartupQueue(BooleanSupplier ready, MonotonicClock clock, Scheduler scheduler) {
        this.ready = ready;
        this.clock = clock;
        this.scheduler = scheduler;
        endNanos = clock.nanos() + MAXIMUM_WAIT.toNanos();
        closed = ready.getAsBoolean();
    }

    /** Starts a request that was queued. */
    @FunctionalInterface
    interface Starter {
        /**
         * Starts the request.
         *
         * @param queuedFor time for which the request was queued
         */
        RunningRequest start(Duration queuedFor);
    }

    /** Returns whether requests that arrive now are to be queued. */
    boolean isQueueing() {
        if (!closed && (ready.getAsBoolean() || clock.nanos() - endNanos >= 0)) {
            closed = true;
        }
        return !closed;
    }

    /**
     * Queues a request until the rules are known, its deadline is near, or the queue closes.
     *
     * @param remainingTime how long the caller waits for the response, if the request states it
     */
    RunningRequest enqueue(Starter starter, CallerStream caller, Optional<Duration> remainingTime) {
        long now = clock.nanos();
        // An error response at the last check must still reach the caller before its deadline.
        long startDeadlineNanos = remainingTime
                .map(remaining -> now + remaining.minus(RESPONSE_MARGIN).toNanos())
                .orElse(endNanos);
        QueuedRequest request = new QueuedRequest(starter, caller, now, startDeadlineNanos);
        synchronized (queuedRequests) {
            queuedRequests.add(request);
            if (queuedRequests.size() == 1) {
                scheduler.schedule(CHECK_INTERVAL, this::check);
            }
        }
        return request;
    }

    private void check() {
        boolean queueing = isQueueing();
        long now = clock.nanos();
        List<QueuedRequest> dueRequests;
        synchronized (queuedRequests) {
            dueRequests = queuedRequests.stream()
                    .filter(request -> !queueing || now - request.startDeadlineNanos >= 0)
                    .toList();
            queuedRequests.removeAll(dueRequests);
            if (!queuedRequests.isEmpty()) {
                scheduler.schedule(CHECK_INTERVAL, this::check);
            }
        }
        if (!dueRequests.isEmpty()) {
            LOGGER.atInfo().log("%s: %d", LogEvent.KEPT_REQUESTS_STARTED, dueRequests.size());
        }
        dueRequests.forEach(QueuedRequest::startRequest);
    }

    /** A queued request. Thread safe: guarded by its own lock. */
    private final class QueuedRequest implements RunningRequest {
        private final Starter starter;
        private final CallerStream caller;
        private final long arrivalNanos;
        private final long startDeadlineNanos;
        private Optional<RunningRequest> started = Optional.empty();
        private boolean cancelled;

        QueuedRequest(Starter starter, CallerStream caller, long arrivalNanos, long startDeadlineNanos) {
            this.starter = starter;
            this.caller = caller;
            this.arrivalNanos = arrivalNanos;
            this.startDeadlineNanos = startDeadlineNanos;
        }

        synchronized void startRequest() {
            if (!cancelled) {
                started = Optional.of(starter.start(Duration.ofNanos(clock.nanos() - arrivalNanos)));
            }
        }

        @Override
        public synchronized void bytesWritten(int bytes) {
            started.ifPresent(running -> running.bytesWritten(bytes));
        }

        @Override
        public synchronized void callerDisconnected() {
            if (started.isPresent()) {
                started.get().callerDisconnected();
            } else if (!cancelled) {
                cancelled = true;
                caller.abort();
            }
        }
    }
}
