package org.basilrill.coordination.admission;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.basilrill.api.AccountId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.WaitingRequest.Route;

/**
 * The waiting requests of one client account in one priority class, grouped by route so that a request whose targets
 * are busy does not hold up the others. Not thread safe; guarded by the dispatcher.
 */
final class AccountQueue {
    static final Comparator<AccountQueue> LOWEST_COUNTER_FIRST =
            Comparator.comparingDouble((AccountQueue queue) -> queue.counter).thenComparing(queue -> queue.name);

    private final Optional<AccountId> account;
    private final String name;
    private final Map<Route, TreeSet<WaitingRequest>> byRoute = new LinkedHashMap<>();
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

    /** Changes the counter; the queue must not be in a set that is sorted by it. */
    void setCounter(double value) {
        counter = value;
    }

    int size() {
        return size;
    }

    void add(WaitingRequest waiting) {
        byRoute.computeIfAbsent(waiting.route(), route -> new TreeSet<>(WaitingRequest.BY_ORDER))
                .add(waiting);
        size++;
    }

    boolean remove(WaitingRequest waiting) {
        TreeSet<WaitingRequest> requests = byRoute.get(waiting.route());
        if (requests == null || !requests.remove(waiting)) {
            return false;
        }
        if (requests.isEmpty()) {
            byRoute.remove(waiting.route());
        }
        size--;
        return true;
    }

    /** Returns the oldest request whose route is not blocked. */
    Optional<WaitingRequest> oldest(Set<Route> blocked) {
        WaitingRequest oldest = null;
        for (Map.Entry<Route, TreeSet<WaitingRequest>> entry : byRoute.entrySet()) {
            WaitingRequest first = entry.getValue().first();
            boolean older = oldest == null || first.order() < oldest.order();
            if (older && !blocked.contains(entry.getKey())) {
                oldest = first;
            }
        }
        return Optional.ofNullable(oldest);
    }

    /** Returns how many requests for the destination wait, retries apart. */
    int waitingFor(Destination destination) {
        TreeSet<WaitingRequest> requests = byRoute.get(new Route(destination, Set.of()));
        return requests == null ? 0 : requests.size();
    }
}
