package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.ToIntFunction;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.FairQueues.Dispatched;
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
    private final TargetDirectory directory;
    private final TargetRouter router;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final DispatcherOptions options;
    private final DestinationStatistics statistics;
    private final FairQueues queues;
    private final DispatchRefusals refusals;
    private final RecentRequests recentlyRefusedAsFull = new RecentRequests();
    private final TreeSet<WaitingRequest> byDeadline = new TreeSet<>(WaitingRequest.BY_DEADLINE);
    private final Map<WaitingRequest, BasilrillException> lateRequests = new HashMap<>();
    private final SerialCallbacks callbacks = new SerialCallbacks();
    private final Object lock = new Object();
    private volatile AbsenceListener absenceListener = (target, model) -> {};

    private long lastQueuePosition;
    private Optional<WaitingRequest> arrivingRequest = Optional.empty();
    private Optional<Scheduler.Cancellable> wakeUp = Optional.empty();
    private long wakeUpNanos;

    /**
     * Creates a dispatcher with empty queues.
     *
     * @param weights relative share of each client account under contention; values below 1 count as 1
     */
    public FairDispatcher(
            TargetDirectory directory,
            TargetRouter router,
            MonotonicClock clock,
            Scheduler scheduler,
            ToIntFunction<AccountId> weights,
            ReadinessEstimator readiness,
            DemandListener demand,
            DispatcherOptions options) {
        this.directory = directory;
        this.router = router;
        this.clock = clock;
        this.scheduler = scheduler;
        this.options = options;
        this.statistics = new DestinationStatistics(demand, callbacks);
        this.queues = new FairQueues(weights, options.dispatchesPerTurn());
        this.refusals = new DispatchRefusals(directory, router, queues, statistics, readiness, clock, options);
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
        return readyTargets(destination).stream().anyMatch(target -> !targets.contains(target.id()));
    }

    /**
     * Tries to dispatch the queued requests that the changed target can serve. Called after a change of the directory.
     */
    public void targetChanged(TargetAnnouncement target) {
        synchronized (lock) {
            if (queues.size() == 0) {
                return;
            }
            queues.unblock(destination -> destination.isServedBy(target));
            assignWaiting();
            scheduleWakeUp();
        }
        callbacks.run();
    }

    /**
     * Sets the listener for targets that refuse a request because its model is not resident; replaces an earlier
     * listener.
     */
    public void setAbsenceListener(AbsenceListener listener) {
        absenceListener = listener;
    }

    /** Receives the targets that refused a request because its model is not resident, although they announced it. */
    @FunctionalInterface
    public interface AbsenceListener {
        /** Called after each such refusal, without a lock held. */
        void absent(TargetAnnouncement target, ModelId model);
    }

    /** Removes the routing state of a target whose announcement expired. */
    public void targetExpired(TargetId target) {
        router.removeTarget(target);
    }

    /** Returns the number of queued requests. */
    public int waiting() {
        synchronized (lock) {
            return queues.size();
        }
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
        WaitingRequest waiting = new WaitingRequest(request, nextQueuePosition(retry), future);
        queues.add(waiting);
        byDeadline.add(waiting);
        statistics.enqueued(request.destination(), isReady(request.destination()), clock.nanos());
        arrivingRequest = Optional.of(waiting);
        assignWaiting();
        arrivingRequest = Optional.empty();
        if (!byDeadline.contains(waiting)) {
            return;
        }
        Optional<BasilrillException> refusal = refusals.whileQueued(request);
        if (refusal.isPresent()) {
            remove(waiting);
            fail(future, refusal.get());
            return;
        }
        future.whenComplete((assignment, failure) -> {
            if (future.isCancelled()) {
                removeCancelled(waiting);
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

    private void assignWaiting() {
        expireWaiting();
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
        lateRequests.forEach((waiting, refusal) -> {
            remove(waiting);
            fail(waiting.future(), refusal);
            queues.unblock(waiting.request().destination()::equals);
        });
        lateRequests.clear();
        return true;
    }

    private Optional<AcquiredSlot> acquire(WaitingRequest waiting) {
        Request request = waiting.request();
        // A request that is too late for its own deadline would also delay the requests behind it at the target.
        Optional<BasilrillException> refusal =
                arrivingRequest.filter(waiting::equals).isPresent()
                        ? Optional.empty()
                        : refusals.firstTokenTooLate(request, readyTargets(request.destination()));
        if (refusal.isPresent()) {
            lateRequests.put(waiting, refusal.get());
            return Optional.empty();
        }
        return router.acquire(
                DestinationStatistics.name(request),
                readyTargets(request.destination()),
                request.excludedTargets(),
                request.prompt());
    }

    private void assign(Dispatched<AcquiredSlot> dispatched) {
        WaitingRequest waiting = dispatched.waiting();
        byDeadline.remove(waiting);
        boolean neverWaited = arrivingRequest.filter(waiting::equals).isPresent();
        statistics.dispatched(waiting.request().destination(), neverWaited, clock.nanos());
        SlotAssignment assignment = new SlotAssignment(dispatched);
        callbacks.add(() -> {
            if (!waiting.future().complete(assignment)) {
                assignment.releaseUnused();
            }
        });
    }

    private void expireWaiting() {
        long now = clock.nanos();
        while (!byDeadline.isEmpty() && byDeadline.first().request().deadlineNanos() - now <= 0) {
            WaitingRequest waiting = byDeadline.first();
            remove(waiting);
            fail(waiting.future(), refusals.expired(waiting.request()));
        }
    }

    private void removeCancelled(WaitingRequest waiting) {
        synchronized (lock) {
            if (!remove(waiting)) {
                return;
            }
            scheduleWakeUp();
        }
        callbacks.run();
    }

    private boolean remove(WaitingRequest waiting) {
        if (!queues.remove(waiting)) {
            return false;
        }
        byDeadline.remove(waiting);
        statistics.dequeued(waiting.request().destination(), clock.nanos());
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
            queues.unblockAll();
            assignWaiting();
            scheduleWakeUp();
        }
        callbacks.run();
    }

    private Collection<TargetAnnouncement> readyTargets(Destination destination) {
        return destination.readyTargets(directory);
    }

    private boolean isReady(Destination destination) {
        return !readyTargets(destination).isEmpty();
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
        public void release(AttemptResult result) {
            if (result == AttemptResult.REFUSED_FULL) {
                releaseSlot(SlotResult.REFUSED_FULL, true);
                return;
            }
            if (result == AttemptResult.REFUSED_ABSENT) {
                dispatched
                        .waiting()
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
                Request request = dispatched.waiting().request();
                if (neverRan) {
                    queues.refund(request, dispatched.charge());
                }
                if (result == SlotResult.REFUSED_FULL) {
                    recentlyRefusedAsFull.add(request.requestId());
                }
                if (queues.size() > 0) {
                    queues.unblock(destination -> destination.isServedBy(target()));
                    assignWaiting();
                    scheduleWakeUp();
                }
            }
            callbacks.run();
        }
    }
}
