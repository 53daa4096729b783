package org.basilrill.coordination.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.basilrill.api.AccountId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.basilrill.coordination.admission.QueuedRequest.Route;
import org.basilrill.coordination.limit.RequestPermits.QueuedDemand;

/**
 * Orders queued requests by priority class and, within a class, fairly among client accounts. Not thread safe; guarded
 * by the lock of the dispatcher.
 *
 * <p>The class with the lowest number is dispatched first. Each class with queued requests earns one credit per
 * dispatch and is dispatched first once its credit reaches the cost of a dispatch, so that no class starves.
 */
final class FairQueues {
    /** Limits the credit of a class whose targets were all busy to this many dispatches in a row. */
    private static final int MAX_CREDIT_IN_DISPATCHES = 2;

    private final ToIntFunction<AccountId> weights;
    private final int dispatchesPerTurn;
    private final TreeMap<Integer, PriorityClass> classes = new TreeMap<>();

    /** Routes without a free target until an event frees a slot. */
    private final Set<Route> blocked = new HashSet<>();

    private int size;

    FairQueues(ToIntFunction<AccountId> weights, int dispatchesPerTurn) {
        this.weights = weights;
        this.dispatchesPerTurn = dispatchesPerTurn;
    }

    int size() {
        return size;
    }

    int size(Request request) {
        PriorityClass priorityClass = classes.get(request.priority());
        return priorityClass == null ? 0 : priorityClass.size(request.account());
    }

    void add(QueuedRequest queued) {
        classes.computeIfAbsent(queued.priority(), PriorityClass::new).add(queued);
        size++;
    }

    boolean remove(QueuedRequest queued) {
        PriorityClass priorityClass = classes.get(queued.priority());
        boolean removed = priorityClass != null && priorityClass.remove(queued);
        if (removed) {
            size--;
        }
        return removed;
    }

    void unblockAll() {
        blocked.clear();
    }

    void unblock(Predicate<Destination> freed) {
        blocked.removeIf(route -> freed.test(route.destination()));
    }

    /**
     * Removes and returns the next request in fair order for which the assigner finds a target.
     *
     * @return empty if no queued request can be assigned
     */
    <T> Optional<Dispatched<T>> dispatchNext(Function<QueuedRequest, Optional<T>> assigner) {
        for (PriorityClass priorityClass : classesInDispatchOrder()) {
            Optional<Dispatched<T>> dispatched = dispatchFrom(priorityClass, assigner);
            if (dispatched.isPresent()) {
                return dispatched;
            }
        }
        return Optional.empty();
    }

    /** Refunds the charge of a request that did not run. */
    void refund(Request request, double charge) {
        PriorityClass priorityClass = classes.get(request.priority());
        if (priorityClass != null) {
            priorityClass.refund(request.account(), charge);
        }
    }

    /**
     * Returns the maximum number of dispatches for the destination up to and including this request, provided that
     * every account with queued requests keeps its queue non-empty.
     */
    double dispatchesUntil(Request request) {
        Destination destination = request.destination();
        PriorityClass own = classes.get(request.priority());
        int total = 0;
        int ownQueued = 0;
        double weightSum = 0;
        for (AccountQueue queue : own.active()) {
            int queued = queue.queuedFor(destination);
            total += queued;
            weightSum += queued > 0 ? weight(queue.account()) : 0;
            ownQueued = queue.account().equals(request.account()) ? queued : ownQueued;
        }
        double share = weight(request.account()) / Math.max(1, weightSum);
        double withinClass = Math.min(total, ownQueued / share);
        int ahead = 0;
        for (PriorityClass higher : classes.headMap(request.priority()).values()) {
            for (AccountQueue queue : higher.active()) {
                ahead += queue.queuedFor(destination);
            }
        }
        return Math.min(withinClass + ahead, withinClass * dispatchesPerTurn);
    }

    /** Returns the queued requests of each destination. */
    Map<Destination, QueuedDemand> demand() {
        Map<Destination, QueuedDemand> demand = new HashMap<>();
        for (PriorityClass priorityClass : classes.values()) {
            for (AccountQueue queue : priorityClass.active()) {
                queue.countByDestination()
                        .forEach((destination, count) -> demand.merge(
                                destination, new QueuedDemand(count, priorityClass.number()), QueuedDemand::plus));
            }
        }
        return demand;
    }

    private List<PriorityClass> classesInDispatchOrder() {
        List<PriorityClass> ordered = new ArrayList<>();
        for (PriorityClass priorityClass : classes.values()) {
            if (priorityClass.hasQueuedRequests()) {
                ordered.add(priorityClass);
            }
        }
        ordered.sort(Comparator.comparingInt((PriorityClass candidate) -> -dueCredit(candidate))
                .thenComparingInt(PriorityClass::number));
        return ordered;
    }

    private int dueCredit(PriorityClass priorityClass) {
        return priorityClass.credit() >= dispatchesPerTurn ? priorityClass.credit() : 0;
    }

    private <T> Optional<Dispatched<T>> dispatchFrom(
            PriorityClass priorityClass, Function<QueuedRequest, Optional<T>> assigner) {
        for (AccountQueue queue : List.copyOf(priorityClass.active())) {
            Optional<QueuedRequest> next = queue.oldest(blocked);
            while (next.isPresent()) {
                Optional<T> assigned = assigner.apply(next.get());
                if (assigned.isPresent()) {
                    return Optional.of(dispatch(priorityClass, next.get(), assigned.get()));
                }
                blocked.add(next.get().route());
                next = queue.oldest(blocked);
            }
        }
        return Optional.empty();
    }

    private <T> Dispatched<T> dispatch(PriorityClass chosenClass, QueuedRequest queued, T assigned) {
        int limit = MAX_CREDIT_IN_DISPATCHES * dispatchesPerTurn;
        if (dueCredit(chosenClass) > 0) {
            chosenClass.addCredit(-dispatchesPerTurn, limit);
        }
        classes.values().stream()
                .filter(PriorityClass::hasQueuedRequests)
                .forEach(priorityClass -> priorityClass.addCredit(1, limit));
        double charge = Math.max(1, queued.request().tokens()) / weight(queued.account());
        chosenClass.dispatch(queued, charge);
        size--;
        return new Dispatched<>(queued, assigned, charge);
    }

    private double weight(Optional<AccountId> account) {
        return account.map(weights::applyAsInt).filter(value -> value > 0).orElse(1);
    }

    /** A dispatched request, what it was assigned, and the charge to its account. */
    record Dispatched<T>(QueuedRequest queued, T assigned, double charge) {}
}
