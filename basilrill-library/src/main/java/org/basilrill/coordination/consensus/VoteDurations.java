package org.basilrill.coordination.consensus;

import java.time.Duration;

/**
 * Remembers how long the last vote took to write, and by how much it extends election timeouts. With votes of 300 ms no
 * election ever ended: each candidate began the next one before the votes for it were written. Not thread safe.
 */
final class VoteDurations {
    /** Writes in an election: the vote of the candidate, the term and the vote of a voter, the first record. */
    private static final int WRITES = 4;
    /** Bounds the time without a leader after one vote that took long, as on a disk that hung. */
    private static final long MAXIMUM_NANOS = Duration.ofSeconds(2).toNanos();

    private long lastNanos;

    void record(long nanos) {
        lastNanos = nanos;
    }

    /**
     * Returns the time by which an election timeout is extended; 0 while the writes of an election take less than the
     * minimum timeout.
     */
    long extension(long minimumTimeoutNanos) {
        long expected = WRITES * lastNanos;
        return expected < minimumTimeoutNanos ? 0 : Math.min(MAXIMUM_NANOS, expected);
    }
}
