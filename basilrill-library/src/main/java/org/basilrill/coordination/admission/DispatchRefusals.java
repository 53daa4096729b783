package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.coordination.limit.RequestPermits.ExpectedPermits;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Decides which requests are refused because their deadlines cannot be met, and after what time their callers should
 * retry. Not thread safe; guarded by the lock of the dispatcher.
 */
final class DispatchRefusals {
    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final TargetDirectory directory;
    private final TargetRouter router;
    private final FairQueues queues;
    private final DestinationStatistics statistics;
    private final ReadinessEstimator readiness;
    private final MonotonicClock clock;
    private final DispatcherOptions options;
    private final RequestPermits permits;
    private final TargetRestrictions restrictions;
    private final LongAdder refusedByEvacuation = new LongAdder();

    DispatchRefusals(
            TargetDirectory directory,
            TargetRouter router,
            FairQueues queues,
            DestinationStatistics statistics,
            ReadinessEstimator readiness,
            MonotonicClock clock,
            DispatcherOptions options,
            RequestPermits permits) {
        this.permits = permits;
        this.restrictions = router.restrictions();
        this.directory = directory;
        this.router = router;
        this.queues = queues;
        this.statistics = statistics;
        this.readiness = readiness;
        this.clock = clock;
        this.options = options;
    }

    /** Returns the reason to refuse a request before it is queued, if it cannot be dispatched before its deadline. */
    Optional<BasilrillException> beforeQueueing(Request request) {
        long remainingNanos = request.deadlineNanos() - clock.nanos();
        if (remainingNanos <= 0) {
            return Optional.of(new BasilrillException(
                    ErrorCode.DEADLINE_UNREACHABLE,
                    String.format("the deadline of request %s has passed", request.requestId())));
        }
        Collection<TargetAnnouncement> ready = readyTargets(request.destination());
        Optional<BasilrillException> excluded = noTargetAllowed(request, ready).or(() -> allEvacuated(request, ready));
        if (excluded.isPresent()) {
            return excluded;
        }
        if (ready.isEmpty()) {
            return untilReady(request.destination())
                    .filter(untilReady -> untilReady.toNanos() > remainingNanos)
                    .map(untilReady -> notReady(request.destination())
                            .withRetryAfter(retryAfter(untilReady.toNanos() - remainingNanos)));
        }
        if (ready.stream().allMatch(restrictions::isLeaving)) {
            return Optional.of(new BasilrillException(
                    ErrorCode.NO_TARGET,
                    String.format(
                            "all %d targets of %s are leaving", ready.size(), DestinationStatistics.name(request))));
        }
        if (ready.stream().allMatch(target -> request.excludedTargets().contains(target.id()))) {
            return Optional.of(new BasilrillException(
                    ErrorCode.NO_TARGET,
                    String.format(
                            "all %d targets of %s are excluded", ready.size(), DestinationStatistics.name(request))));
        }
        return pausedTooLong(request, ready).or(() -> firstTokenTooLate(request, ready));
    }

    /**
     * Refuses a request that names regions if no target there could serve it, now or once it has loaded the model.
     * Other requests wait for a target to announce itself.
     */
    private Optional<BasilrillException> noTargetAllowed(Request request, Collection<TargetAnnouncement> ready) {
        Destination destination = request.destination();
        if (!ready.isEmpty()
                || !destination.residency().isRestricted()
                || directory.targets().stream().anyMatch(destination::couldBeServedBy)) {
            return Optional.empty();
        }
        return Optional.of(new BasilrillException(
                ErrorCode.NO_TARGET,
                String.format("%s has no target in the allowed regions", DestinationStatistics.name(request))));
    }

    /** Returns the reason to refuse a request that found no free slot, if it should not stay queued. */
    Optional<BasilrillException> whileQueued(Request request) {
        long now = clock.nanos();
        boolean ready = isReady(request.destination());
        Optional<Double> drainPerSecond =
                ready ? statistics.drainPerSecond(request.destination(), now) : Optional.empty();
        if (queues.size(request) > options.queueLimit()) {
            long retryNanos =
                    drainPerSecond.map(DispatchRefusals::nanosPerDispatch).orElse(0L);
            return Optional.of(new BasilrillException(
                            ErrorCode.QUEUE_FULL,
                            String.format("%d requests of the client account are already queued", options.queueLimit()))
                    .withRetryAfter(retryAfter(retryNanos)));
        }
        double ahead = queues.dispatchesUntil(request);
        Optional<BasilrillException> limited = permitsTooLate(request, readyTargets(request.destination()), ahead);
        if (limited.isPresent()) {
            return limited;
        }
        // A request with no others ahead stays queued: its dispatch updates the measured drain rate.
        if (ahead <= 1) {
            return Optional.empty();
        }
        long remainingNanos = request.deadlineNanos() - now;
        return ready
                ? drainTooSlow(request, drainPerSecond, ahead, remainingNanos)
                : backlogTooLong(request, ahead, remainingNanos);
    }

    /**
     * Refuses a request if all its targets want none for longer than its caller is likely to wait here. Half of the
     * remaining time is left for the request itself.
     */
    private Optional<BasilrillException> pausedTooLong(Request request, Collection<TargetAnnouncement> ready) {
        Duration shortestPause = Duration.ofNanos(Long.MAX_VALUE);
        for (TargetAnnouncement target : ready) {
            if (request.excludedTargets().contains(target.id()) || restrictions.isLeaving(target)) {
                continue;
            }
            Optional<Duration> pause = restrictions.remainingPause(target);
            if (pause.isEmpty()) {
                return Optional.empty();
            }
            if (pause.get().compareTo(shortestPause) < 0) {
                shortestPause = pause.get();
            }
        }
        long remainingNanos = request.deadlineNanos() - clock.nanos();
        if (shortestPause.toNanos() <= remainingNanos / 2) {
            return Optional.empty();
        }
        return Optional.of(new BasilrillException(
                        ErrorCode.TARGET_FULL,
                        String.format(
                                "all targets of %s want no requests for %d ms",
                                DestinationStatistics.name(request), shortestPause.toMillis()))
                .withRetryAfter(shortestPause));
    }

    /**
     * Refuses a request if all targets that could serve it are in evacuated data centres. A model may still be loaded
     * on any engine of its service, so a request for it waits as long as one of these is elsewhere.
     *
     * @param ready ready targets outside evacuated data centres
     */
    private Optional<BasilrillException> allEvacuated(Request request, Collection<TargetAnnouncement> ready) {
        if (!ready.isEmpty() || !restrictions.hasEvacuated()) {
            return Optional.empty();
        }
        Destination destination = request.destination();
        Collection<TargetAnnouncement> possible = destination.model().isEmpty()
                ? destination.readyTargets(directory)
                : directory.targets().stream()
                        .filter(destination::couldBeServedBy)
                        .toList();
        if (possible.isEmpty() || !possible.stream().allMatch(restrictions::isEvacuated)) {
            return Optional.empty();
        }
        refusedByEvacuation.increment();
        return Optional.of(new BasilrillException(
                ErrorCode.NO_TARGET,
                String.format(
                        "all %d targets of %s are in evacuated data centres",
                        possible.size(), DestinationStatistics.name(request))));
    }

    /** Returns the number of requests refused because all their targets are in evacuated data centres. */
    long refusedByEvacuation() {
        return refusedByEvacuation.sum();
    }

    /** Returns the failure of a request whose deadline passed while it was queued. */
    BasilrillException expired(Request request) {
        if (!isReady(request.destination())) {
            return notReady(request.destination());
        }
        return new BasilrillException(
                ErrorCode.DEADLINE_UNREACHABLE,
                String.format("no slot for %s became free before the deadline", DestinationStatistics.name(request)));
    }

    /** Returns the reason to refuse a queued request that cannot be sent, or get its first token, in time. */
    Optional<BasilrillException> tooLate(Request request, Collection<TargetAnnouncement> ready) {
        return noTargetAllowed(request, ready)
                .or(() -> allEvacuated(request, ready))
                .or(() -> permitsTooLate(request, ready, queues.dispatchesUntil(request)))
                .or(() -> firstTokenTooLate(request, ready));
    }

    /**
     * Refuses a request if all its targets state a request rate, and together will not have served the requests before
     * it by its deadline. Its caller can be served once they have.
     *
     * @param ahead dispatches up to and including this request
     */
    private Optional<BasilrillException> permitsTooLate(
            Request request, Collection<TargetAnnouncement> ready, double ahead) {
        if (!permits.hasLimits() || ready.isEmpty()) {
            return Optional.empty();
        }
        double permitsPerNano = 0;
        long nanosUntilPermit = Long.MAX_VALUE;
        for (TargetAnnouncement target : ready) {
            if (target.leaving() || request.excludedTargets().contains(target.id())) {
                continue;
            }
            Optional<ExpectedPermits> expected = permits.expectedPermits(target);
            if (expected.isEmpty()) {
                return Optional.empty();
            }
            permitsPerNano += 1.0 / Math.max(1, expected.get().nanosPerPermit());
            nanosUntilPermit = Math.min(nanosUntilPermit, expected.get().nanosUntilNext());
        }
        if (permitsPerNano == 0) {
            return Optional.empty();
        }
        double waitNanos = nanosUntilPermit + (ahead - 1) / permitsPerNano;
        if (waitNanos <= request.deadlineNanos() - clock.nanos()) {
            return Optional.empty();
        }
        String detail = String.format(
                "the request rates that all targets of %s state allow the request in %.0f ms",
                DestinationStatistics.name(request), waitNanos / NANOS_PER_MILLISECOND);
        return Optional.of(
                new BasilrillException(ErrorCode.DEADLINE_UNREACHABLE, detail).withRetryAfter(retryAfter(waitNanos)));
    }

    /** Returns the reason to refuse a request whose first token would come after its deadline, if it were sent now. */
    Optional<BasilrillException> firstTokenTooLate(Request request, Collection<TargetAnnouncement> ready) {
        long remainingNanos = request.deadlineNanos() - clock.nanos();
        return router.timeToFirstToken(
                        DestinationStatistics.name(request), ready, request.excludedTargets(), request.prompt())
                .filter(timeToFirstToken -> timeToFirstToken.toNanos() > remainingNanos)
                .map(timeToFirstToken -> new BasilrillException(
                                ErrorCode.DEADLINE_UNREACHABLE,
                                String.format(
                                        "the estimated time to first token of %s is %d ms",
                                        DestinationStatistics.name(request), timeToFirstToken.toMillis()))
                        .withRetryAfter(retryAfter(timeToFirstToken.toNanos() - remainingNanos / 2.0)));
    }

    private Optional<BasilrillException> drainTooSlow(
            Request request, Optional<Double> drainPerSecond, double ahead, long remainingNanos) {
        if (drainPerSecond.isEmpty()) {
            return Optional.empty();
        }
        double optimistic = statistics
                .optimisticDrainPerSecond(request.destination(), clock.nanos())
                .orElseThrow();
        if (ahead * nanosPerDispatch(optimistic) <= remainingNanos) {
            return Optional.empty();
        }
        double waitNanos = ahead * nanosPerDispatch(drainPerSecond.get());
        String detail = String.format(
                "%.0f queued dispatches to %s at %.2f per second exceed the deadline",
                ahead, DestinationStatistics.name(request), drainPerSecond.get());
        return Optional.of(new BasilrillException(ErrorCode.DEADLINE_UNREACHABLE, detail)
                .withRetryAfter(retryAfter(waitNanos - remainingNanos)));
    }

    /**
     * Refuses a request if the backlog of its model is too long. The first copy of the model processes the prompts of
     * all queued requests: those queued here and an estimated equal number at each other instance.
     */
    private Optional<BasilrillException> backlogTooLong(Request request, double ahead, long remainingNanos) {
        Duration prefillTime =
                router.prefillTime(Math.round(ahead * request.prompt().lastPartTokens()));
        Duration timeToFirstToken =
                untilReady(request.destination()).orElse(Duration.ZERO).plus(prefillTime);
        if (timeToFirstToken.toNanos() <= remainingNanos) {
            return Optional.empty();
        }
        String detail = String.format(
                "%.0f queued requests for %s need an estimated %d ms",
                ahead, DestinationStatistics.name(request), timeToFirstToken.toMillis());
        return Optional.of(new BasilrillException(ErrorCode.MODEL_NOT_READY, detail)
                .withRetryAfter(retryAfter(timeToFirstToken.toNanos() - remainingNanos / 2.0)));
    }

    private Optional<Duration> untilReady(Destination destination) {
        return destination.model().flatMap(readiness::untilReady);
    }

    private boolean isReady(Destination destination) {
        return !readyTargets(destination).isEmpty();
    }

    private Collection<TargetAnnouncement> readyTargets(Destination destination) {
        return restrictions.withoutEvacuated(destination.readyTargets(directory));
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

    private Duration retryAfter(double nanos) {
        double shortest = options.shortestRetryAfter().toNanos();
        double longest = options.longestRetryAfter().toNanos();
        return Duration.ofNanos((long) Math.max(shortest, Math.min(longest, nanos)));
    }

    private static long nanosPerDispatch(double perSecond) {
        return (long) (Duration.ofSeconds(1).toNanos() / Math.max(perSecond, 1e-6));
    }
}
