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
 * A queued request with its position in the order of arrival.
 *
 * @param queuePosition lower positions are dispatched first within the queue of one client account; unique
 */
record QueuedRequest(Request request, long queuePosition, CompletableFuture<Assignment> future) {
    static final Comparator<QueuedRequest> BY_QUEUE_POSITION = Comparator.comparingLong(QueuedRequest::queuePosition);
    static final Comparator<QueuedRequest> BY_DEADLINE = Comparator.comparingLong(
                    (QueuedRequest queued) -> queued.request().deadlineNanos())
            .thenComparingLong(QueuedRequest::queuePosition);

    Optional<AccountId> account() {
        return request.account();
    }

    int priority() {
        return request.priority();
    }

    Route route() {
        return new Route(request.destination(), request.excludedTargets());
    }

    /** The targets that a request can use. If one request of a route finds no free target, neither do the others. */
    record Route(Destination destination, Set<TargetId> excluded) {}
}
