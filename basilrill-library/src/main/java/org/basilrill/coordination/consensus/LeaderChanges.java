package org.basilrill.coordination.consensus;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the leaders of the last seconds and tells how much longer than usual to wait before the next election. After a
 * loss of power all replicas start at once on processors that are busy with the start; with the usual timeouts each
 * leader was deposed before it was heard. A single change of the leader lengthens nothing. Not thread safe.
 */
final class LeaderChanges {
    private static final long REMEMBERED_NANOS = Duration.ofSeconds(5).toNanos();
    /** Bounds the timeouts to 2 s, so that a leader lost after many changes is still replaced within seconds. */
    private static final int LONGEST_FACTOR = 4;

    private final Deque<Long> recent = new ArrayDeque<>();
    private long lastTerm;

    /** Notes that a term has a leader. */
    void leads(long term, long nowNanos) {
        if (term > lastTerm) {
            lastTerm = term;
            recent.addLast(nowNanos);
        }
    }

    /** Returns by how much the timeouts of elections are lengthened; 1 with at most one recent change. */
    int patience(long nowNanos) {
        while (!recent.isEmpty() && nowNanos - recent.getFirst() > REMEMBERED_NANOS) {
            recent.removeFirst();
        }
        int further = Math.max(0, recent.size() - 1);
        return Math.min(LONGEST_FACTOR, 1 << Math.min(further, LONGEST_FACTOR));
    }
}
