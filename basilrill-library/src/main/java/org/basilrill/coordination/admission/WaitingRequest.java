package org.basilrill.coordination.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;

/**
 * A request in a queue with its place in the order of arrival.
 *
 * @param order lower goes first within the queue of one client account; unique
 */
record WaitingRequest(Request request, long order, CompletableFuture<Assignment> future) {
    static final Comparator<WaitingRequest> BY_ORDER = Comparator.comparingLong(WaitingRequest::order);
    static final Comparator<WaitingRequest> BY_DEADLINE = Comparator.comparingLong(
                    (WaitingRequest waiting) -> waiting.request().deadlineNanos())
            .thenComparingLong(WaitingRequest::order);

    Optional<AccountId> account() {
        return request.account();
    }

    int priority() {
        return request.priority();
    }

    Route route() {
        return new Route(request.destination(), request.excludedTargets());
    }

    /** Requests of one route can use the same targets, so when one finds none free, neither do the others. */
    record Route(Destination destination, Set<TargetId> excluded) {}
}
