package org.basilrill.coordination.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.BasilrillException;

/**
 * Reads that wait for a quorum round started after they arrived. Reads that arrive during a round share the next one.
 * Not thread safe.
 */
final class QuorumReads {
    private final List<Read> pendingReads = new ArrayList<>();
    private long startedRound;

    void add(long readIndex, CompletableFuture<Long> confirmedIndex) {
        pendingReads.add(new Read(readIndex, confirmedIndex));
    }

    /** Returns whether reads wait for a round to start and no earlier round is still in progress. */
    boolean needsRound(long acknowledgedRound) {
        return acknowledgedRound >= startedRound && pendingReads.stream().anyMatch(read -> read.round == 0);
    }

    /** Assigns all reads without a round to the round that starts now. */
    void roundStarted(long round) {
        for (Read read : pendingReads) {
            if (read.round == 0) {
                read.round = round;
                startedRound = round;
            }
        }
    }

    /** Completes the reads whose round a majority has acknowledged and whose index is applied. */
    void complete(long acknowledgedRound, long appliedIndex) {
        List<Read> ready = pendingReads.stream()
                .filter(read -> read.round > 0 && read.round <= acknowledgedRound && read.index <= appliedIndex)
                .toList();
        pendingReads.removeAll(ready);
        ready.forEach(read -> read.confirmedIndex.complete(read.index));
    }

    /** Fails all pending reads. */
    void fail(BasilrillException failure) {
        List<Read> failed = List.copyOf(pendingReads);
        pendingReads.clear();
        failed.forEach(read -> read.confirmedIndex.completeExceptionally(failure));
    }

    /** A pending read; its round is 0 until one is assigned. */
    private static final class Read {
        private final long index;
        private final CompletableFuture<Long> confirmedIndex;
        private long round;

        Read(long index, CompletableFuture<Long> confirmedIndex) {
            this.index = index;
            this.confirmedIndex = confirmedIndex;
        }
    }
}
