package org.basilrill.coordination.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.basilrill.api.AccountId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.basilrill.coordination.admission.WaitingRequest.Route;

/**
 * Orders waiting requests by priority class and, within a class, fairly among client accounts. Not thread safe; guarded
 * by the dispatcher.
 *
 * <p>The class with the lowest number goes first, but each waiting class earns credit with every dispatch and goes
 * first once the credit is worth a dispatch, so that none starves.
 */
final class FairQueues {
    /** A class that waited for busy targets only may catch up by this many dispatches in a row, no more. */
    private static final int CREDIT_LIMIT_IN_DISPATCHES = 2;

    private final ToIntFunction<AccountId> weights;
    private final int dispatchesPerTurn;
    private final TreeMap<Integer, PriorityClass> classes = new TreeMap<>();

    /** Routes known to have no free target until an event makes a slot free. */
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

    void add(WaitingRequest waiting) {
        classes.computeIfAbsent(waiting.priority(), PriorityClass::new).add(waiting);
        size++;
    }

    boolean remove(WaitingRequest waiting) {
        PriorityClass priorityClass = classes.get(waiting.priority());
        boolean removed = priorityClass != null && priorityClass.remove(waiting);
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
     * Takes the next request in fair order for which the assigner finds a target.
     *
     * @return empty once no waiting request can be assigned
     */
    <T> Optional<Served<T>> serveNext(Function<WaitingRequest, Optional<T>> assigner) {
        for (PriorityClass priorityClass : classesInTurn()) {
            Optional<Served<T>> served = serveFrom(priorityClass, assigner);
            if (served.isPresent()) {
                return served;
            }
        }
        return Optional.empty();
    }

    /** Takes back the charge of a request that did not run. */
    void refund(Request request, double charge) {
        PriorityClass priorityClass = classes.get(request.priority());
        if (priorityClass != null) {
            priorityClass.refund(request.account(), charge);
        }
    }

    /**
     * Returns how many dispatches for the destination come before and including this request, at most, if every account
     * now waiting goes on waiting.
     */
    double dispatchesUntil(Request request) {
        Destination destination = request.destination();
        PriorityClass own = classes.get(request.priority());
        int total = 0;
        int ownWaiting = 0;
        double weightSum = 0;
        for (AccountQueue queue : own.active()) {
            int waiting = queue.waitingFor(destination);
            total += waiting;
            weightSum += waiting > 0 ? weight(queue.account()) : 0;
            ownWaiting = queue.account().equals(request.account()) ? waiting : ownWaiting;
        }
        double share = weight(request.account()) / Math.max(1, weightSum);
        double withinClass = Math.min(total, ownWaiting / share);
        int ahead = 0;
        for (PriorityClass higher : classes.headMap(request.priority()).values()) {
            for (AccountQueue queue : higher.active()) {
                ahead += queue.waitingFor(destination);
            }
        }
        return Math.min(withinClass + ahead, withinClass * dispatchesPerTurn);
    }

    private List<PriorityClass> classesInTurn() {
        List<PriorityClass> inTurn = new ArrayList<>();
        for (PriorityClass priorityClass : classes.values()) {
            if (priorityClass.isWaiting()) {
                inTurn.add(priorityClass);
            }
        }
        inTurn.sort(Comparator.comparingInt((PriorityClass candidate) -> -dueCredit(candidate))
                .thenComparingInt(PriorityClass::number));
        return inTurn;
    }

    private int dueCredit(PriorityClass priorityClass) {
        return priorityClass.credit() >= dispatchesPerTurn ? priorityClass.credit() : 0;
    }

    private <T> Optional<Served<T>> serveFrom(
            PriorityClass priorityClass, Function<WaitingRequest, Optional<T>> assigner) {
        for (AccountQueue queue : List.copyOf(priorityClass.active())) {
            Optional<WaitingRequest> next = queue.oldest(blocked);
            while (next.isPresent()) {
                Optional<T> assigned = assigner.apply(next.get());
                if (assigned.isPresent()) {
                    return Optional.of(serve(priorityClass, next.get(), assigned.get()));
                }
                blocked.add(next.get().route());
                next = queue.oldest(blocked);
            }
        }
        return Optional.empty();
    }

    private <T> Served<T> serve(PriorityClass served, WaitingRequest waiting, T assigned) {
        int limit = CREDIT_LIMIT_IN_DISPATCHES * dispatchesPerTurn;
        if (dueCredit(served) > 0) {
            served.addCredit(-dispatchesPerTurn, limit);
        }
        classes.values().stream()
                .filter(PriorityClass::isWaiting)
                .forEach(priorityClass -> priorityClass.addCredit(1, limit));
        double charge = Math.max(1, waiting.request().tokens()) / weight(waiting.account());
        served.serve(waiting, charge);
        size--;
        return new Served<>(waiting, assigned, charge);
    }

    private double weight(Optional<AccountId> account) {
        return account.map(weights::applyAsInt).filter(value -> value > 0).orElse(1);
    }

    /** A request that left the queue with what it was assigned and what its account was charged. */
    record Served<T>(WaitingRequest waiting, T assigned, double charge) {}
}
