package org.basilrill.coordination.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.basilrill.api.InstanceId;

/**
 * Records what must never change: the command committed at each index, the leader of each term, and the acknowledged
 * writes. Throws {@link AssertionError} on the first violation.
 */
final class HistoryOracle {
    private final Map<Long, Long> committed = new TreeMap<>();
    private final Map<Long, Long> acknowledged = new TreeMap<>();
    private final Map<Long, InstanceId> leaders = new HashMap<>();
    private long highestAcknowledged;
    private int confirmedReads;
    private Optional<AssertionError> firstFailure = Optional.empty();

    /** Checks that no two replicas apply different commands at an index. */
    void checkApplied(long index, long command) {
        Long before = committed.putIfAbsent(index, command);
        require(before == null || before == command, "index " + index + " holds " + before + " and " + command);
    }

    /** Checks that an acknowledged write was applied at the acknowledged index. */
    void acknowledged(long index, long command) {
        require(Long.valueOf(command).equals(committed.get(index)), "acknowledged " + command + " is not at " + index);
        acknowledged.put(index, command);
        highestAcknowledged = Math.max(highestAcknowledged, index);
    }

    /** Returns the index that a read which starts now must cover. */
    long highestAcknowledged() {
        return highestAcknowledged;
    }

    /** Checks the result of a read that started when the highest acknowledged index was {@code mustCover}. */
    void checkRead(long mustCover, long readIndex, long applied) {
        require(readIndex >= mustCover, "read returned " + readIndex + " after " + mustCover + " was acknowledged");
        require(applied >= readIndex, "read returned " + readIndex + " with " + applied + " applied");
        highestAcknowledged = Math.max(highestAcknowledged, readIndex);
        confirmedReads++;
    }

    /** Checks that no term has two leaders. */
    void checkLeader(InstanceId leader, long term) {
        InstanceId before = leaders.putIfAbsent(term, leader);
        require(before == null || before.equals(leader), "term " + term + " led by " + before + " and " + leader);
    }

    /** Checks the uncommitted member changes of a leader. */
    void checkMemberChange(int uncommittedChanges, boolean ownTermCommitted) {
        require(uncommittedChanges <= 1, uncommittedChanges + " member changes at a time");
        require(ownTermCommitted, "member change before a commit in the term of the leader");
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    int confirmedReads() {
        return confirmedReads;
    }

    /** Checks that the history of a replica which applied all records contains every acknowledged write. */
    void checkAcknowledgedWrites(Map<Long, Long> history) {
        acknowledged.forEach((index, command) -> require(
                command.equals(history.get(index)), "acknowledged write " + command + " at " + index + " lost"));
    }

    /** Fails if any check has failed, including checks in callbacks of futures, whose errors are not propagated. */
    void verify() {
        firstFailure.ifPresent(error -> {
            throw error;
        });
    }

    private void require(boolean condition, String message) {
        if (!condition) {
            AssertionError error = new AssertionError(message);
            firstFailure = firstFailure.or(() -> Optional.of(error));
            throw error;
        }
    }
}
