package org.basilrill.coordination.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.basilrill.api.AccountId;

/**
 * The queues of one priority class. The account with the lowest virtual token counter is served first. Not thread safe;
 * guarded by the lock of the dispatcher.
 *
 * <p>When an idle account queues a request, its counter is raised to the lowest counter of the accounts with queued
 * requests, or to that of the account served last if there are none. Otherwise the account could claim the service that
 * it missed while idle all at once.
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

    /** Changes the credit by an amount, up to a limit. */
    void addCredit(int amount, int limit) {
        credit = Math.min(limit, credit + amount);
    }

    boolean hasQueuedRequests() {
        return !active.isEmpty();
    }

    /** Returns the non-empty queues, the lowest counter first. */
    Collection<AccountQueue> active() {
        return active;
    }

    int size(Optional<AccountId> account) {
        AccountQueue queue = queues.get(account);
        return queue == null ? 0 : queue.size();
    }

    void add(QueuedRequest request) {
        AccountQueue queue = queues.computeIfAbsent(request.account(), AccountQueue::new);
        if (queue.size() == 0) {
            double lowest =
                    active.isEmpty() ? lastServedCounter : active.first().counter();
            queue.setCounter(Math.max(queue.counter(), lowest));
            active.add(queue);
        }
        queue.add(request);
    }

    boolean remove(QueuedRequest request) {
        AccountQueue queue = queues.get(request.account());
        if (queue == null || !queue.remove(request)) {
            return false;
        }
        if (queue.size() == 0) {
            active.remove(queue);
            credit = active.isEmpty() ? 0 : credit;
            removeIfRedundant(queue);
        }
        return true;
    }

    /** Removes a request that was assigned a target and charges its account. */
    void dispatch(QueuedRequest request, double charge) {
        AccountQueue queue = queues.get(request.account());
        lastServedCounter = Math.max(lastServedCounter, queue.counter());
        setCounter(queue, queue.counter() + charge);
        remove(request);
    }

    /** Refunds the charge of a request that did not run. */
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

    /**
     * Removes an idle queue whose counter would be raised anyway, so that queues of inactive accounts do not
     * accumulate.
     */
    private void removeIfRedundant(AccountQueue queue) {
        if (queue.counter() <= lastServedCounter) {
            queues.remove(queue.account());
        }
    }
}
