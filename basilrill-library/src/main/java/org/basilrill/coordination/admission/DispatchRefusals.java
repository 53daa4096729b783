package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Decides which requests are refused at once, because they cannot be answered in time, and when their callers should
 * come back. Not thread safe; guarded by the dispatcher.
 */
final class DispatchRefusals {
    private final TargetDirectory directory;
    private final TargetRouter router;
    private final FairQueues queues;
    private final DestinationLoads loads;
    private final ReadinessEstimator readiness;
    private final MonotonicClock clock;
    private final DispatcherOptions options;

    DispatchRefusals(
            TargetDirectory directory,
            TargetRouter router,
            FairQueues queues,
            DestinationLoads loads,
            ReadinessEstimator readiness,
            MonotonicClock clock,
            DispatcherOptions options) {
        this.directory = directory;
        this.router = router;
        this.queues = queues;
        this.loads = loads;
        this.readiness = readiness;
        this.clock = clock;
        this.options = options;
    }

    /** Returns the reason why waiting cannot help, before the request is queued. */
    Optional<BasilrillException> beforeQueueing(Request request) {
        long leftNanos = request.deadlineNanos() - clock.nanos();
        if (leftNanos <= 0) {
            return Optional.of(new BasilrillException(
                    ErrorCode.DEADLINE_UNREACHABLE,
                    String.format("the deadline of request %s has passed", request.requestId())));
        }
        Collection<TargetAnnouncement> ready = request.destination().readyTargets(directory);
        if (ready.isEmpty()) {
            return untilReady(request.destination())
                    .filter(untilReady -> untilReady.toNanos() > leftNanos)
                    .map(untilReady ->
                            notReady(request.destination()).withRetryAfter(bounded(untilReady.toNanos() - leftNanos)));
        }
        if (ready.stream().allMatch(target -> request.excludedTargets().contains(target.id()))) {
            return Optional.of(new BasilrillException(
                    ErrorCode.NO_TARGET,
                    String.format("all %d targets of %s are excluded", ready.size(), DestinationLoads.name(request))));
        }
        return tooSlow(request, ready);
    }

    /** Returns the reason why a request that found no free slot is not worth keeping. */
    Optional<BasilrillException> whileQueued(Request request) {
        long now = clock.nanos();
        boolean ready = isReady(request.destination());
        Optional<Double> drainPerSecond = ready ? loads.drainPerSecond(request.destination(), now) : Optional.empty();
        if (queues.size(request) > options.queueLimit()) {
            long retryNanos =
                    drainPerSecond.map(DispatchRefusals::nanosPerDispatch).orElse(0L);
            return Optional.of(new BasilrillException(
                            ErrorCode.QUEUE_FULL,
                            String.format("%d requests of the client account wait already", options.queueLimit()))
                    .withRetryAfter(bounded(retryNanos)));
        }
        double ahead = queues.dispatchesUntil(request);
        // A request with none ahead keeps the estimate alive: it is the one whose dispatch shows that a target drains.
        if (ahead <= 1) {
            return Optional.empty();
        }
        long leftNanos = request.deadlineNanos() - now;
        return ready ? slowDrain(request, drainPerSecond, ahead, leftNanos) : longBacklog(request, ahead, leftNanos);
    }

    /** Returns the failure of a request whose time has passed in the queue. */
    BasilrillException expired(Request request) {
        if (!isReady(request.destination())) {
            return notReady(request.destination());
        }
        return new BasilrillException(
                ErrorCode.DEADLINE_UNREACHABLE,
                String.format("no slot for %s became free before the deadline", DestinationLoads.name(request)));
    }

    /** Returns the reason why sending the request now is of no use to its caller. */
    Optional<BasilrillException> tooSlow(Request request, Collection<TargetAnnouncement> ready) {
        long leftNanos = request.deadlineNanos() - clock.nanos();
        return router.timeToBegin(DestinationLoads.name(request), ready, request.excludedTargets(), request.prompt())
                .filter(toBegin -> toBegin.toNanos() > leftNanos)
                .map(toBegin -> new BasilrillException(
                                ErrorCode.DEADLINE_UNREACHABLE,
                                String.format(
                                        "an answer from %s would begin in about %d ms",
                                        DestinationLoads.name(request), toBegin.toMillis()))
                        .withRetryAfter(bounded(toBegin.toNanos() - leftNanos / 2.0)));
    }

    private Optional<BasilrillException> slowDrain(
            Request request, Optional<Double> drainPerSecond, double ahead, long leftNanos) {
        if (drainPerSecond.isEmpty()) {
            return Optional.empty();
        }
        double optimistic = loads.optimisticDrainPerSecond(request.destination(), clock.nanos())
                .orElseThrow();
        if (ahead * nanosPerDispatch(optimistic) <= leftNanos) {
            return Optional.empty();
        }
        double waitNanos = ahead * nanosPerDispatch(drainPerSecond.get());
        String detail = String.format(
                "%.0f dispatches to %s come first at %.2f per second",
                ahead, DestinationLoads.name(request), drainPerSecond.get());
        return Optional.of(new BasilrillException(ErrorCode.DEADLINE_UNREACHABLE, detail)
                .withRetryAfter(bounded(waitNanos - leftNanos)));
    }

    /** All that waits for a model, here and probably as much at each other instance, is read by its first copy. */
    private Optional<BasilrillException> longBacklog(Request request, double ahead, long leftNanos) {
        Duration toRead = router.timeToRead(Math.round(ahead * request.prompt().ownTokens()));
        Duration toBegin =
                untilReady(request.destination()).orElse(Duration.ZERO).plus(toRead);
        if (toBegin.toNanos() <= leftNanos) {
            return Optional.empty();
        }
        String detail = String.format(
                "%.0f requests for %s come first, which take about %d ms",
                ahead, DestinationLoads.name(request), toBegin.toMillis());
        return Optional.of(new BasilrillException(ErrorCode.MODEL_NOT_READY, detail)
                .withRetryAfter(bounded(toBegin.toNanos() - leftNanos / 2.0)));
    }

    private Optional<Duration> untilReady(Destination destination) {
        return destination.model().flatMap(readiness::untilReady);
    }

    private boolean isReady(Destination destination) {
        return !destination.readyTargets(directory).isEmpty();
    }

    private static BasilrillException notReady(Destination destination) {
        return destination
                .model()
                .map(model -> new BasilrillException(
                        ErrorCode.MODEL_NOT_READY, String.format("model %s has no ready copy", model)))
                .orElseGet(() -> new BasilrillException(
                        ErrorCode.NO_TARGET,
                        String.format(
                                "service %s has no target",
                                destination.service().orElse(""))));
    }

    private Duration bounded(double nanos) {
        double shortest = options.shortestRetryAfter().toNanos();
        double longest = options.longestRetryAfter().toNanos();
        return Duration.ofNanos((long) Math.max(shortest, Math.min(longest, nanos)));
    }

    private static long nanosPerDispatch(double perSecond) {
        return (long) (Duration.ofSeconds(1).toNanos() / Math.max(perSecond, 1e-6));
    }
}
