package org.basilrill.coordination.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.BasilrillException;

/**
 * Reads that wait for a quorum round which began after they arrived. Reads that arrive during a round share the next
 * one. Not thread safe.
 */
final class QuorumReads {
    private final List<Read> waiting = new ArrayList<>();
    private long startedRound;

    void add(long readIndex, CompletableFuture<Long> answer) {
        waiting.add(new Read(readIndex, answer));
    }

    /** Returns whether reads wait for a round to begin and no earlier round is still open. */
    boolean needRound(long acknowledgedRound) {
        return acknowledgedRound >= startedRound && waiting.stream().anyMatch(read -> read.round == 0);
    }

    /** Assigns the reads that arrived so far to a round that begins now. */
    void roundBegins(long round) {
        for (Read read : waiting) {
            if (read.round == 0) {
                read.round = round;
                startedRound = round;
            }
        }
    }

    /** Answers the reads whose round a majority has acknowledged and whose index is applied. */
    void complete(long acknowledgedRound, long appliedIndex) {
        List<Read> ready = waiting.stream()
                .filter(read -> read.round > 0 && read.round <= acknowledgedRound && read.index <= appliedIndex)
                .toList();
        waiting.removeAll(ready);
        ready.forEach(read -> read.answer.complete(read.index));
    }

    /** Fails all reads. */
    void fail(BasilrillException failure) {
        List<Read> failed = List.copyOf(waiting);
        waiting.clear();
        failed.forEach(read -> read.answer.completeExceptionally(failure));
    }

    /** One read; round 0 until its round begins. */
    private static final class Read {
        private final long index;
        private final CompletableFuture<Long> answer;
        private long round;

        Read(long index, CompletableFuture<Long> answer) {
            this.index = index;
            this.answer = answer;
        }
    }
}
