package org.basilrill.transport.threads;

import java.time.Duration;

/**
 * Counts failures of a replica that follow each other closely. After too many of them a new replica on the same store
 * helps no more, and a new process is the last remedy. Not thread safe.
 */
final class RecentFailures {
    private static final Duration WINDOW = Duration.ofSeconds(30);
    private static final int MAXIMUM = 6;

    private int count;
    private long lastNanos;

    /**
     * Records a failure; returns how many came shortly before it.
     *
     * @throws ReplicaError if there were too many
     */
    int record(RuntimeException failure, long nowNanos) {
        boolean recent = count > 0 && nowNanos - lastNanos < WINDOW.toNanos();
        count = recent ? count + 1 : 1;
        lastNanos = nowNanos;
        if (count > MAXIMUM) {
            throw new ReplicaError("the replica of the control log failed " + count + " times in a row", failure);
        }
        return count - 1;
    }
}
