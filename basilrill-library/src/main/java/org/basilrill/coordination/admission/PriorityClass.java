package org.basilrill.coordination.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.basilrill.api.AccountId;

/**
 * The queues of one priority class. The account with the lowest virtual token counter goes first. Not thread safe;
 * guarded by the dispatcher.
 *
 * <p>An account that returns from idle is lifted to the lowest counter of those waiting, or to that of the account
 * served last when none waits. Without the lift it could spend the service it missed while idle all at once.
 */
final class PriorityClass {
    private final int number;
    private final Map<Optional<AccountId>, AccountQueue> queues = new HashMap<>();
    private final TreeSet<AccountQueue> active = new TreeSet<>(AccountQueue.LOWEST_COUNTER_FIRST);
    private double lastServedCounter;
    private int credit;

    PriorityClass(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    int credit() {
        return credit;
    }

    /** Counts a dispatch made while this class waited. */
    void addCredit(int amount, int limit) {
        credit = Math.min(limit, credit + amount);
    }

    boolean isWaiting() {
        return !active.isEmpty();
    }

    /** Returns the queues that are not empty, the lowest counter first. */
    Collection<AccountQueue> active() {
        return active;
    }

    int size(Optional<AccountId> account) {
        AccountQueue queue = queues.get(account);
        return queue == null ? 0 : queue.size();
    }

    void add(WaitingRequest waiting) {
        AccountQueue queue = queues.computeIfAbsent(waiting.account(), AccountQueue::new);
        if (queue.size() == 0) {
            double lowest =
                    active.isEmpty() ? lastServedCounter : active.first().counter();
            queue.setCounter(Math.max(queue.counter(), lowest));
            active.add(queue);
        }
        queue.add(waiting);
    }

    boolean remove(WaitingRequest waiting) {
        AccountQueue queue = queues.get(waiting.account());
        if (queue == null || !queue.remove(waiting)) {
            return false;
        }
        if (queue.size() == 0) {
            active.remove(queue);
            credit = active.isEmpty() ? 0 : credit;
            dropIfForgettable(queue);
        }
        return true;
    }

    /** Removes a request that got a target and charges its account. */
    void serve(WaitingRequest waiting, double charge) {
        AccountQueue queue = queues.get(waiting.account());
        lastServedCounter = Math.max(lastServedCounter, queue.counter());
        setCounter(queue, queue.counter() + charge);
        remove(waiting);
    }

    /** Takes back a charge for a request that did not run. */
    void refund(Optional<AccountId> account, double charge) {
        AccountQueue queue = queues.get(account);
        if (queue != null) {
            setCounter(queue, queue.counter() - charge);
        }
    }

    private void setCounter(AccountQueue queue, double counter) {
        boolean wasActive = active.remove(queue);
        queue.setCounter(counter);
        if (wasActive) {
            active.add(queue);
        }
    }

    /** Drops an idle queue whose counter the lift would replace anyway, so that queues of past accounts do not stay. */
    private void dropIfForgettable(AccountQueue queue) {
        if (queue.counter() <= lastServedCounter) {
            queues.remove(queue.account());
        }
    }
}
