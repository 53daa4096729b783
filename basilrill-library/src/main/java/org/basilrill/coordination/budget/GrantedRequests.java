package org.basilrill.coordination.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Numbers of the asks that one requester has a grant for already. An ask that arrives again after its grant has ended
 * must not be granted again, as the requester would ignore that grant. Not thread safe; guarded by the lock of the
 * shard.
 */
final class GrantedRequests {
    /** An ask is sent again for up to one lifetime of a grant and may be late by as much. */
    private static final long KEPT_NANOS = 2 * BudgetTiming.GRANT_LIFETIME;

    private final Deque<Entry> entries = new ArrayDeque<>();
    /** Asks up to this number are too old to be granted. */
    private long forgotten;

    void add(long ask, long nowNanos) {
        prune(nowNanos);
        entries.add(new Entry(ask, nowNanos));
    }

    boolean contains(long ask, long nowNanos) {
        prune(nowNanos);
        return ask <= forgotten || entries.stream().anyMatch(entry -> entry.ask == ask);
    }

    private void prune(long nowNanos) {
        while (!entries.isEmpty() && nowNanos - entries.peek().nanos > KEPT_NANOS) {
            forgotten = Math.max(forgotten, entries.poll().ask);
        }
    }

    /** One ask with the time of its grant. */
    private record Entry(long ask, long nanos) {}
}
