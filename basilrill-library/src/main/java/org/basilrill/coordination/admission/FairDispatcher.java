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
import org.basilrill.coordination.admission.FairQueues.Served;
import org.basilrill.coordination.routing.HeldSlot;
import org.basilrill.coordination.routing.SlotResult;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Queues requests fairly among client accounts until the router finds a free slot.
 *
 * <p>Invariants: each request ends in exactly one of assignment, failure or cancellation; a slot is given back exactly
 * once, also when the caller cancels while the slot is being assigned; no request is assigned after its deadline.
 * Thread safe: one lock guards the queues, because the fair order is one order over all accounts. Slots, target health
 * and prefix memory have locks of their own. Futures and listeners are completed without the lock.
 */
public final class FairDispatcher implements Dispatcher {
    private final TargetDirectory directory;
    private final TargetRouter router;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final DispatcherOptions options;
    private final DestinationLoads loads;
    private final FairQueues queues;
    private final DispatchRefusals refusals;
    private final RecentRequests refusedAsFull = new RecentRequests();
    private final TreeSet<WaitingRequest> byDeadline = new TreeSet<>(WaitingRequest.BY_DEADLINE);
    private final Map<WaitingRequest, BasilrillException> tooLate = new HashMap<>();
    private final SerialEffects effects = new SerialEffects();
    private final Object lock = new Object();
    private volatile AbsenceListener absences = (target, model) -> {};

    private long lastOrder;
    private Optional<WaitingRequest> arriving = Optional.empty();
    private Optional<Scheduler.Cancellable> wakeUp = Optional.empty();
    private long wakeUpNanos;

    /**
     * Creates a dispatcher with empty queues.
     *
     * @param weights share of each client account under contention; less than 1 counts as 1
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
        this.loads = new DestinationLoads(demand, effects);
        this.queues = new FairQueues(weights, options.dispatchesPerTurn());
        this.refusals = new DispatchRefusals(directory, router, queues, loads, readiness, clock, options);
    }

    @Override
    public CompletableFuture<Assignment> dispatch(Request request) {
        CompletableFuture<Assignment> future = new CompletableFuture<>();
        synchronized (lock) {
            enqueue(request, future);
            scheduleWakeUp();
        }
        effects.run();
        return future;
    }

    @Override
    public boolean hasTargetBesides(Destination destination, Set<TargetId> targets) {
        return readyTargets(destination).stream().anyMatch(target -> !targets.contains(target.id()));
    }

    /** Looks at the waiting requests again after the directory changed. */
    public void targetChanged(TargetAnnouncement target) {
        synchronized (lock) {
            if (queues.size() == 0) {
                return;
            }
            queues.unblock(destination -> destination.isServedBy(target));
            assignWaiting();
            scheduleWakeUp();
        }
        effects.run();
    }

    /** Is told of targets that turn out not to hold a model; replaces an earlier listener. */
    public void onAbsence(AbsenceListener listener) {
        absences = listener;
    }

    /** Learns that a target does not hold a model that it announced. */
    @FunctionalInterface
    public interface AbsenceListener {
        /** Takes one such observation; called without a lock held. */
        void absent(TargetAnnouncement target, ModelId model);
    }

    /** Drops what was learned of a target whose announcement expired. */
    public void targetExpired(TargetId target) {
        router.forget(target);
    }

    /** Returns how many requests wait. */
    public int waiting() {
        synchronized (lock) {
            return queues.size();
        }
    }

    private void enqueue(Request request, CompletableFuture<Assignment> future) {
        loads.requested(request);
        Optional<BasilrillException> hopeless = refusals.beforeQueueing(request);
        if (hopeless.isPresent()) {
            fail(future, hopeless.get());
            return;
        }
        if (queues.size() == 0) {
            queues.unblockAll();
        }
        boolean retry = refusedAsFull.remove(request.requestId())
                || !request.excludedTargets().isEmpty();
        WaitingRequest waiting = new WaitingRequest(request, nextOrder(retry), future);
        queues.add(waiting);
        byDeadline.add(waiting);
        loads.entered(request.destination(), isReady(request.destination()), clock.nanos());
        arriving = Optional.of(waiting);
        assignWaiting();
        arriving = Optional.empty();
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
                cancelled(waiting);
            }
        });
    }

    /** A retry goes before the other requests of its account: its caller has waited longest. */
    private long nextOrder(boolean retry) {
        lastOrder++;
        return retry ? lastOrder + Long.MIN_VALUE / 2 : lastOrder;
    }

    private void assignWaiting() {
        expireWaiting();
        do {
            Optional<Served<HeldSlot>> served = queues.serveNext(this::acquire);
            while (served.isPresent()) {
                assign(served.get());
                served = queues.serveNext(this::acquire);
            }
        } while (refuseTooLate());
    }

    /** Refuses what was found too late to be sent, so that those behind are seen; returns whether there was any. */
    private boolean refuseTooLate() {
        if (tooLate.isEmpty()) {
            return false;
        }
        tooLate.forEach((waiting, refusal) -> {
            remove(waiting);
            fail(waiting.future(), refusal);
            queues.unblock(waiting.request().destination()::equals);
        });
        tooLate.clear();
        return true;
    }

    private Optional<HeldSlot> acquire(WaitingRequest waiting) {
        Request request = waiting.request();
        // A target that reads for callers who are about to leave makes those behind them late as well.
        Optional<BasilrillException> refusal = arriving.filter(waiting::equals).isPresent()
                ? Optional.empty()
                : refusals.tooSlow(request, readyTargets(request.destination()));
        if (refusal.isPresent()) {
            tooLate.put(waiting, refusal.get());
            return Optional.empty();
        }
        return router.acquire(
                DestinationLoads.name(request),
                readyTargets(request.destination()),
                request.excludedTargets(),
                request.prompt());
    }

    private void assign(Served<HeldSlot> served) {
        WaitingRequest waiting = served.waiting();
        byDeadline.remove(waiting);
        boolean neverWaited = arriving.filter(waiting::equals).isPresent();
        loads.dispatched(waiting.request().destination(), neverWaited, clock.nanos());
        SlotAssignment assignment = new SlotAssignment(served);
        effects.add(() -> {
            if (!waiting.future().complete(assignment)) {
                assignment.withdraw();
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

    private void cancelled(WaitingRequest waiting) {
        synchronized (lock) {
            if (!remove(waiting)) {
                return;
            }
            scheduleWakeUp();
        }
        effects.run();
    }

    private boolean remove(WaitingRequest waiting) {
        if (!queues.remove(waiting)) {
            return false;
        }
        byDeadline.remove(waiting);
        loads.left(waiting.request().destination(), clock.nanos());
        return true;
    }

    private void fail(CompletableFuture<Assignment> future, BasilrillException failure) {
        effects.add(() -> future.completeExceptionally(failure));
    }

    /** Keeps one task scheduled while requests wait: for the next deadline, and for what changes without an event. */
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
        effects.run();
    }

    private Collection<TargetAnnouncement> readyTargets(Destination destination) {
        return destination.readyTargets(directory);
    }

    private boolean isReady(Destination destination) {
        return !readyTargets(destination).isEmpty();
    }

    /** A slot held for one request. Thread safe. */
    private final class SlotAssignment implements Assignment {
        private final Served<HeldSlot> served;
        private final AtomicBoolean released = new AtomicBoolean();
        private final AtomicBoolean begun = new AtomicBoolean();

        SlotAssignment(Served<HeldSlot> served) {
            this.served = served;
        }

        @Override
        public TargetAnnouncement target() {
            return served.assigned().target();
        }

        @Override
        public void answered(Optional<TargetAnnouncement.Load> load) {
            if (begun.compareAndSet(false, true)) {
                router.answered(served.assigned(), load);
            }
        }

        @Override
        public void release(AttemptResult result) {
            if (result == AttemptResult.REFUSED_FULL) {
                giveBack(SlotResult.REFUSED_FULL, true);
                return;
            }
            if (result == AttemptResult.REFUSED_ABSENT) {
                served.waiting().request().destination().model().ifPresent(model -> absences.absent(target(), model));
                giveBack(SlotResult.CANCELLED, true);
                return;
            }
            giveBack(SlotResult.valueOf(result.name()), false);
        }

        /** Gives the slot back because the caller cancelled before it got the assignment. */
        void withdraw() {
            giveBack(SlotResult.CANCELLED, true);
        }

        private void giveBack(SlotResult result, boolean neverRan) {
            if (!released.compareAndSet(false, true)) {
                return;
            }
            if (begun.compareAndSet(false, true)) {
                router.abandoned(served.assigned());
            }
            router.release(served.assigned(), result);
            synchronized (lock) {
                Request request = served.waiting().request();
                if (neverRan) {
                    queues.refund(request, served.charge());
                }
                if (result == SlotResult.REFUSED_FULL) {
                    refusedAsFull.add(request.requestId());
                }
                if (queues.size() > 0) {
                    queues.unblock(destination -> destination.isServedBy(target()));
                    assignWaiting();
                    scheduleWakeUp();
                }
            }
            effects.run();
        }
    }
}
