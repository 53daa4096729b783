package org.basilrill.coordination.consensus;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts recent leader changes and computes the factor by which election timeouts are extended. After a power loss all
 * replicas start at once and the processors are busy; with the normal timeouts each leader was deposed before its first
 * heartbeat was processed. A single leader change does not extend the timeouts. Not thread safe.
 */
final class LeaderChanges {
    private static final long WINDOW_NANOS = Duration.ofSeconds(5).toNanos();
    /** Limits the timeouts to 2 s, so that a leader lost after many changes is still replaced within seconds. */
    private static final int MAXIMUM_FACTOR = 4;

    private final Deque<Long> recentChanges = new ArrayDeque<>();
    private long lastTerm;

    /** Records that a term has a leader; ignores terms already recorded. */
    void recordLeader(long term, long nowNanos) {
        if (term > lastTerm) {
            lastTerm = term;
            recentChanges.addLast(nowNanos);
        }
    }

    /** Returns the factor by which election timeouts are extended; 1 with at most one recent change. */
    int timeoutFactor(long nowNanos) {
        while (!recentChanges.isEmpty() && nowNanos - recentChanges.getFirst() > WINDOW_NANOS) {
            recentChanges.removeFirst();
        }
        int additionalChanges = Math.max(0, recentChanges.size() - 1);
        return Math.min(MAXIMUM_FACTOR, 1 << Math.min(additionalChanges, MAXIMUM_FACTOR));
    }
}
