package org.basilrill.coordination.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.basilrill.api.AccountId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.QueuedRequest.Route;

/**
 * The queued requests of one client account in one priority class, grouped by route. A route whose targets are all busy
 * does not block the requests of other routes. Not thread safe; guarded by the lock of the dispatcher.
 */
final class AccountQueue {
    static final Comparator<AccountQueue> LOWEST_COUNTER_FIRST =
            Comparator.comparingDouble((AccountQueue queue) -> queue.counter).thenComparing(queue -> queue.name);

    private final Optional<AccountId> account;
    private final String name;
    private final Map<Route, TreeSet<QueuedRequest>> byRoute = new LinkedHashMap<>();
    private double counter;
    private int size;

    AccountQueue(Optional<AccountId> account) {
        this.account = account;
        this.name = account.map(AccountId::value).orElse("");
    }

    Optional<AccountId> account() {
        return account;
    }

    /** Returns the virtual token counter: tokens served divided by weight. */
    double counter() {
        return counter;
    }

    /** Changes the counter. The queue must not be in a set sorted by the counter at that time. */
    void setCounter(double value) {
        counter = value;
    }

    int size() {
        return size;
    }

    void add(QueuedRequest request) {
        byRoute.computeIfAbsent(request.route(), route -> new TreeSet<>(QueuedRequest.BY_QUEUE_POSITION))
                .add(request);
        size++;
    }

    boolean remove(QueuedRequest request) {
        TreeSet<QueuedRequest> requests = byRoute.get(request.route());
        if (requests == null || !requests.remove(request)) {
            return false;
        }
        if (requests.isEmpty()) {
            byRoute.remove(request.route());
        }
        size--;
        return true;
    }

    /** Returns the oldest request whose route is not blocked. */
    Optional<QueuedRequest> oldest(Set<Route> blocked) {
        QueuedRequest oldest = null;
        for (Map.Entry<Route, TreeSet<QueuedRequest>> entry : byRoute.entrySet()) {
            QueuedRequest first = entry.getValue().first();
            boolean older = oldest == null || first.queuePosition() < oldest.queuePosition();
            if (older && !blocked.contains(entry.getKey())) {
                oldest = first;
            }
        }
        return Optional.ofNullable(oldest);
    }

    /** Returns the number of queued requests for each destination. */
    Map<Destination, Integer> countByDestination() {
        Map<Destination, Integer> counts = new HashMap<>();
        byRoute.forEach((route, requests) -> counts.merge(route.destination(), requests.size(), Integer::sum));
        return counts;
    }

    /** Returns the number of queued requests for the destination, not counting those that exclude targets. */
    int queuedFor(Destination destination) {
        TreeSet<QueuedRequest> requests = byRoute.get(new Route(destination, Set.of()));
        return requests == null ? 0 : requests.size();
    }
}
