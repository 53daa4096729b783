package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.FairQueues.Dispatched;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.coordination.routing.AcquiredSlot;
import org.basilrill.coordination.routing.SlotResult;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Queues requests fairly among client accounts until the router finds a free slot.
 *
 * <p>Invariants: each request ends in exactly one of assignment, failure or cancellation; a slot is released exactly
 * once, also when the caller cancels while the slot is being assigned; no request is assigned after its deadline.
 *
 * <p>Thread safe: one lock guards the queues, because the fair order covers all accounts. Slots, target health and
 * cached prefixes are guarded by their own locks. Futures are completed and listeners called without the lock.
 */
public final class FairDispatcher implements Dispatcher {
    private final ReadyTargets readyTargets;
    private final TargetRouter router;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final DispatcherOptions options;
    private final DestinationStatistics statistics;
    private final FairQueues queues;
    private final DispatchRefusals refusals;
    private final RequestPermits permits;
    private final PermitDemandReporter permitDemandReporter;
    private final RecentRequests recentlyRefusedAsFull = new RecentRequests();
    private final TreeSet<QueuedRequest> byDeadline = new TreeSet<>(QueuedRequest.BY_DEADLINE);
    private final Map<QueuedRequest, BasilrillException> lateRequests = new HashMap<>();
    private final SerialCallbacks callbacks = new SerialCallbacks();
    private final Object lock = new Object();
    private volatile AbsenceListener absenceListener = (target, model) -> {};

    private long lastQueuePosition;
    private Optional<QueuedRequest> arrivingRequest = Optional.empty();
    private Optional<Scheduler.Cancellable> wakeUp = Optional.empty();
    private long wakeUpNanos;

    /**
     * Creates a dispatcher with empty queues.
     *
     * @param weights relative share of each client account under contention; values below 1 count as 1
     * @param permits permits for targets that state a request rate
     */
    public FairDispatcher(
            TargetDirectory directory,
            TargetRouter router,
            MonotonicClock clock,
            Scheduler scheduler,
            ToIntFunction<AccountId> weights,
            ReadinessEstimator readiness,
            DemandListener demand,
            DispatcherOptions options,
            RequestPermits permits) {
        this.readyTargets = new ReadyTargets(directory, router);
        this.router = router;
        this.clock = clock;
        this.scheduler = scheduler;
        this.options = options;
        this.permits = permits;
        this.statistics = new DestinationStatistics(demand, callbacks);
        this.queues = new FairQueues(weights, options.dispatchesPerTurn());
        this.refusals = new DispatchRefusals(directory, router, queues, statistics, readiness, clock, options, permits);
        this.permitDemandReporter = new PermitDemandReporter(directory, permits, queues, scheduler, lock);
    }

    @Override
    public CompletableFuture<Assignment> dispatch(Request request) {
        CompletableFuture<Assignment> future = new CompletableFuture<>();
        synchronized (lock) {
            enqueue(request, future);
            scheduleWakeUp();
        }
        callbacks.run();
        return future;
    }

    @Override
    public boolean hasOtherTarget(Destination destination, Set<TargetId> targets) {
        return readyTargets.hasOther(destination, targets);
    }

    @Override
    public Set<TargetId> allButLeastLoaded(Destination destination, Set<TargetId> excluded) {
        return readyTargets.allButLeastLoaded(destination, excluded);
    }

    /**
     * Tries to dispatch the queued requests that the changed target can serve. Called after a change of the directory.
     */
    public void targetChanged(TargetAnnouncement target) {
        recheck(destination -> destination.isServedBy(target));
    }

    /** Checks all queued requests again. Called after a change that concerns many targets. */
    public void recheck() {
        recheck(any -> true);
    }

    /** Returns the number of requests refused because all their targets are in evacuated data centres. */
    public long refusedByEvacuation() {
        return refusals.refusedByEvacuation();
    }

    /**
     * Sets the listener for targets that refuse a request because its model is not resident; replaces an earlier
     * listener.
     */
    public void setAbsenceListener(AbsenceListener listener) {
        absenceListener = listener;
    }

    /** Removes the routing state of a target whose announcement expired. */
    public void targetExpired(TargetId target) {
        router.removeTarget(target);
    }

    /** Returns the number of queued requests. */
    public int queuedRequests() {
        synchronized (lock) {
            return queues.size();
        }
    }

    private void recheck(Predicate<Destination> unblocked) {
        synchronized (lock) {
            if (queues.size() == 0) {
                return;
            }
            queues.unblock(unblocked);
            assignQueued();
            scheduleWakeUp();
        }
        callbacks.run();
    }

    private void enqueue(Request request, CompletableFuture<Assignment> future) {
        statistics.requested(request);
        Optional<BasilrillException> immediateRefusal = refusals.beforeQueueing(request);
        if (immediateRefusal.isPresent()) {
            fail(future, immediateRefusal.get());
            return;
        }
        if (queues.size() == 0) {
            queues.unblockAll();
        }
        boolean retry = recentlyRefusedAsFull.remove(request.requestId())
                || !request.excludedTargets().isEmpty();
        QueuedRequest queued = new QueuedRequest(request, nextQueuePosition(retry), future);
        queues.add(queued);
        byDeadline.add(queued);
        statistics.enqueued(
                request.destination(), !readyTargets.of(request.destination()).isEmpty(), clock.nanos());
        arrivingRequest = Optional.of(queued);
        assignQueued();
        arrivingRequest = Optional.empty();
        if (!byDeadline.contains(queued)) {
            return;
        }
        Optional<BasilrillException> refusal = refusals.whileQueued(request);
        if (refusal.isPresent()) {
            remove(queued);
            fail(future, refusal.get());
            return;
        }
        future.whenComplete((assignment, failure) -> {
            if (future.isCancelled()) {
                removeCancelled(queued);
            }
        });
    }

    /**
     * Returns the next queue position. A retry is placed before the other requests of its account, because its caller
     * has waited longest.
     */
    private long nextQueuePosition(boolean retry) {
        lastQueuePosition++;
        return retry ? lastQueuePosition + Long.MIN_VALUE / 2 : lastQueuePosition;
    }

    private void assignQueued() {
        expireQueued();
        do {
            Optional<Dispatched<AcquiredSlot>> dispatched = queues.dispatchNext(this::acquire);
            while (dispatched.isPresent()) {
                assign(dispatched.get());
                dispatched = queues.dispatchNext(this::acquire);
            }
        } while (refuseLateRequests());
    }

    /**
     * Refuses the requests whose first token would be too late, which unblocks the requests behind them. Returns
     * whether there were any.
     */
    private boolean refuseLateRequests() {
        if (lateRequests.isEmpty()) {
            return false;
        }
        lateRequests.forEach((queued, refusal) -> {
            remove(queued);
            fail(queued.future(), refusal);
            queues.unblock(queued.request().destination()::equals);
        });
        lateRequests.clear();
        return true;
    }

    private Optional<AcquiredSlot> acquire(QueuedRequest queued) {
        Request request = queued.request();
        // A request that is too late for its own deadline would also delay the requests behind it at the target.
        Optional<BasilrillException> refusal =
                arrivingRequest.filter(queued::equals).isPresent()
                        ? Optional.empty()
                        : refusals.tooLate(request, readyTargets.of(request.destination()));
        if (refusal.isPresent()) {
            lateRequests.put(queued, refusal.get());
            return Optional.empty();
        }
        return router.acquire(
                DestinationStatistics.name(request),
                readyTargets.of(request.destination()),
                request.excludedTargets(),
                request.prompt(),
                request.profile());
    }

    private void assign(Dispatched<AcquiredSlot> dispatched) {
        QueuedRequest queued = dispatched.queued();
        byDeadline.remove(queued);
        boolean neverWaited = arrivingRequest.filter(queued::equals).isPresent();
        statistics.dispatched(queued.request().destination(), neverWaited, clock.nanos());
        SlotAssignment assignment = new SlotAssignment(dispatched);
        callbacks.add(() -> {
            if (!queued.future().complete(assignment)) {
                assignment.releaseUnused();
            }
        });
    }

    private void expireQueued() {
        long now = clock.nanos();
        while (!byDeadline.isEmpty() && byDeadline.first().request().deadlineNanos() - now <= 0) {
            QueuedRequest queued = byDeadline.first();
            remove(queued);
            fail(queued.future(), refusals.expired(queued.request()));
        }
    }

    private void removeCancelled(QueuedRequest queued) {
        synchronized (lock) {
            if (!remove(queued)) {
                return;
            }
            scheduleWakeUp();
        }
        callbacks.run();
    }

    private boolean remove(QueuedRequest queued) {
        if (!queues.remove(queued)) {
            return false;
        }
        byDeadline.remove(queued);
        statistics.dequeued(queued.request().destination(), clock.nanos());
        return true;
    }

    private void fail(CompletableFuture<Assignment> future, BasilrillException failure) {
        callbacks.add(() -> future.completeExceptionally(failure));
    }

    /**
     * Keeps one task scheduled while requests are queued. It runs at the next deadline, or after the recheck interval
     * for changes without an event.
     */
    private void scheduleWakeUp() {
        permitDemandReporter.scheduleUpdate();
        if (queues.size() == 0) {
            wakeUp.ifPresent(Scheduler.Cancellable::cancel);
            wakeUp = Optional.empty();
            return;
        }
        long now = clock.nanos();
        long untilDeadline = Math.max(0, byDeadline.first().request().deadlineNanos() - now);
        long delay = Math.min(options.recheckInterval().toNanos(), untilDeadline);
        if (wakeUp.isPresent() && wakeUpNanos - (now + delay) <= 0) {
            return;
        }
        wakeUp.ifPresent(Scheduler.Cancellable::cancel);
        wakeUpNanos = now + delay;
        wakeUp = Optional.of(scheduler.schedule(Duration.ofNanos(delay), this::wakeUp));
    }

    private void wakeUp() {
        synchronized (lock) {
            wakeUp = Optional.empty();
        }
        recheck();
    }

    /** A slot reserved for one request. Thread safe. */
    private final class SlotAssignment implements Assignment {
        private final Dispatched<AcquiredSlot> dispatched;
        private final AtomicBoolean released = new AtomicBoolean();
        private final AtomicBoolean responseWaitEnded = new AtomicBoolean();

        SlotAssignment(Dispatched<AcquiredSlot> dispatched) {
            this.dispatched = dispatched;
        }

        @Override
        public TargetAnnouncement target() {
            return dispatched.assigned().target();
        }

        @Override
        public void responseStarted(Optional<TargetAnnouncement.Load> load) {
            if (responseWaitEnded.compareAndSet(false, true)) {
                router.responseStarted(dispatched.assigned(), load);
            }
        }

        @Override
        public void firstEventReceived() {
            router.firstEventReceived(dispatched.assigned());
        }

        @Override
        public void release(AttemptResult result) {
            if (result == AttemptResult.REFUSED_FULL) {
                releaseSlot(SlotResult.REFUSED_FULL, true);
                return;
            }
            if (result == AttemptResult.REFUSED_ABSENT) {
                dispatched
                        .queued()
                        .request()
                        .destination()
                        .model()
                        .ifPresent(model -> absenceListener.absent(target(), model));
                releaseSlot(SlotResult.CANCELLED, true);
                return;
            }
            releaseSlot(SlotResult.valueOf(result.name()), false);
        }

        /** Releases the slot of a request that was cancelled before it received the assignment. */
        void releaseUnused() {
            permits.release(target());
            releaseSlot(SlotResult.CANCELLED, true);
        }

        private void releaseSlot(SlotResult result, boolean neverRan) {
            if (!released.compareAndSet(false, true)) {
                return;
            }
            if (responseWaitEnded.compareAndSet(false, true)) {
                router.endedWithoutResponse(dispatched.assigned());
            }
            router.release(dispatched.assigned(), result);
            synchronized (lock) {
                Request request = dispatched.queued().request();
                if (neverRan) {
                    queues.refund(request, dispatched.charge());
                }
                if (result == SlotResult.REFUSED_FULL) {
                    recentlyRefusedAsFull.add(request.requestId());
                }
                if (queues.size() > 0) {
                    queues.unblock(destination -> destination.isServedBy(target()));
                    assignQueued();
                    scheduleWakeUp();
                }
            }
            callbacks.run();
        }
    }
}
