package org.basilrill.coordination.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.basilrill.api.InstanceId;

/**
 * Knows what must never change: the command committed at each index, the leader of each term, and the writes that were
 * acknowledged. Throws {@link AssertionError} on the first contradiction.
 */
final class HistoryOracle {
    private final Map<Long, Long> committed = new TreeMap<>();
    private final Map<Long, Long> acknowledged = new TreeMap<>();
    private final Map<Long, InstanceId> leaders = new HashMap<>();
    private long highestAcknowledged;
    private int confirmedReads;
    private Optional<AssertionError> contradiction = Optional.empty();

    /** Checks that no replica applies another command at an index. */
    void applied(long index, long command) {
        Long before = committed.putIfAbsent(index, command);
        require(before == null || before == command, "index " + index + " holds " + before + " and " + command);
    }

    /** Checks that an acknowledged write was applied at the acknowledged index. */
    void acknowledged(long index, long command) {
        require(Long.valueOf(command).equals(committed.get(index)), "acknowledged " + command + " is not at " + index);
        acknowledged.put(index, command);
        highestAcknowledged = Math.max(highestAcknowledged, index);
    }

    /** Returns the index that a read which begins now must cover. */
    long highestAcknowledged() {
        return highestAcknowledged;
    }

    /** Checks a read that began when the highest acknowledged index was the given one. */
    void confirmed(long mustCover, long answer, long applied) {
        require(answer >= mustCover, "read answered " + answer + " after " + mustCover + " was acknowledged");
        require(applied >= answer, "read answered " + answer + " with " + applied + " applied");
        highestAcknowledged = Math.max(highestAcknowledged, answer);
        confirmedReads++;
    }

    /** Checks that no term has two leaders. */
    void leads(InstanceId leader, long term) {
        InstanceId before = leaders.putIfAbsent(term, leader);
        require(before == null || before.equals(leader), "term " + term + " led by " + before + " and " + leader);
    }

    /** Checks the member changes of a leader that are not yet committed. */
    void membersChanged(int open, boolean ownTermCommitted) {
        require(open <= 1, open + " member changes at a time");
        require(ownTermCommitted, "member change before a commit in the term of the leader");
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    int confirmedReads() {
        return confirmedReads;
    }

    /** Checks that a replica which applied everything holds every acknowledged write. */
    void complete(Map<Long, Long> history) {
        acknowledged.forEach((index, command) -> require(
                command.equals(history.get(index)), "acknowledged write " + command + " at " + index + " lost"));
    }

    /** Fails if any check has failed, also one within the callback of a future, which keeps its error to itself. */
    void verify() {
        contradiction.ifPresent(found -> {
            throw found;
        });
    }

    private void require(boolean condition, String message) {
        if (!condition) {
            AssertionError found = new AssertionError(message);
            contradiction = contradiction.or(() -> Optional.of(found));
            throw found;
        }
    }
}
