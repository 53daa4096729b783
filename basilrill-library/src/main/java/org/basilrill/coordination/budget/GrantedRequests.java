package org.basilrill.coordination.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Numbers of the grant requests of one requester that were granted. A resent request that arrives after its grant has
 * ended must not be granted again, as the requester would ignore the second grant. Not thread safe; guarded by the lock
 * of the shard.
 */
final class GrantedRequests {
    /** A request is resent for up to one lifetime of a grant and may arrive late by as much. */
    private static final long RETENTION_NANOS = 2 * BudgetTiming.GRANT_LIFETIME;

    private final Deque<Entry> entries = new ArrayDeque<>();
    /** Requests up to this number are too old to be granted. */
    private long highestForgotten;

    void add(long requestNumber, long nowNanos) {
        prune(nowNanos);
        entries.add(new Entry(requestNumber, nowNanos));
    }

    boolean contains(long requestNumber, long nowNanos) {
        prune(nowNanos);
        return requestNumber <= highestForgotten
                || entries.stream().anyMatch(entry -> entry.requestNumber == requestNumber);
    }

    private void prune(long nowNanos) {
        while (!entries.isEmpty() && nowNanos - entries.peek().grantedNanos > RETENTION_NANOS) {
            highestForgotten = Math.max(highestForgotten, entries.poll().requestNumber);
        }
    }

    /** One request with the time of its grant. */
    private record Entry(long requestNumber, long grantedNanos) {}
}
