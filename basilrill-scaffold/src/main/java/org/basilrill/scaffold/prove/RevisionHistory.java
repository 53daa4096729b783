package org.basilrill.scaffold.prove;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that concurrent compare-and-set operations on the revision, and reads of it, are linearizable. Thread safe;
 * guarded by its own lock.
 *
 * <p>Each revision begins at one point in time, within the interval of the operation that set it. A read of a revision
 * needs a point in its interval at which that revision is current. These points only have lower and upper bounds and a
 * fixed order. So the history is linearizable if and only if it is with the earliest possible point for each revision.
 */
final class RevisionHistory {
    private final List<Operation> operations = new ArrayList<>();

    /** Result of an operation. */
    enum Kind {
        /** The operation set the revision. */
        ACCEPTED,
        /** Another revision than the expected one was current; the operation counts as a read of it. */
        CONFLICT,
        /** The operation may take effect at any time after its start, or never. */
        UNKNOWN,
        /** The operation never takes effect. */
        NOT_RUN
    }

    /**
     * One compare-and-set operation.
     *
     * @param expected revision to be replaced
     * @param marker identifies the text; operations that set the same text have the same marker
     * @param revision new revision, or the one read on a conflict; 0 if unknown
     */
    record Operation(long startNanos, long endNanos, long expected, String marker, Kind kind, long revision) {}

    synchronized void add(Operation operation) {
        operations.add(operation);
    }

    synchronized int size() {
        return operations.size();
    }

    /** Returns the highest revision that was reported as accepted by the given time; 0 if there is none. */
    synchronized long highestAcknowledgedBefore(long nanos) {
        return operations.stream()
                .filter(operation -> operation.kind() == Kind.ACCEPTED && operation.endNanos() <= nanos)
                .mapToLong(Operation::revision)
                .max()
                .orElse(0);
    }

    /** Returns the markers reported as accepted, by revision; fails if a revision has two different ones. */
    synchronized Map<Long, String> acknowledged() {
        Map<Long, String> winners = new HashMap<>();
        for (Operation operation : operations) {
            if (operation.kind() == Kind.ACCEPTED) {
                String other = winners.putIfAbsent(operation.revision(), operation.marker());
                ScenarioFailure.unless(
                        other == null || other.equals(operation.marker()),
                        "one winner of revision " + operation.revision(),
                        other + " and " + operation.marker());
                ScenarioFailure.unless(
                        operation.revision() == operation.expected() + 1,
                        "revision " + (operation.expected() + 1) + " for " + operation.marker(),
                        operation.revision());
            }
        }
        return winners;
    }

    /**
     * Fails unless the history is linearizable and no operation reported as not run took effect.
     *
     * @param first revision in force before the first operation
     * @param last highest revision observed
     * @param observed markers of the texts observed in force, by revision
     */
    synchronized void check(long first, long last, Map<Long, String> observed) {
        Map<Long, String> winners = acknowledged();
        observed.forEach((revision, marker) -> {
            String winner = winners.putIfAbsent(revision, marker);
            ScenarioFailure.unless(
                    winner == null || winner.equals(marker), "text " + winner + " of revision " + revision, marker);
        });
        long[] earliest = new long[(int) (last - first) + 2];
        earliest[0] = Long.MIN_VALUE;
        for (long revision = first + 1; revision <= last; revision++) {
            int index = (int) (revision - first);
            earliest[index] = Math.max(earliest[index - 1], lowerBound(revision, winners.get(revision)));
        }
        for (Operation operation : operations) {
            if (operation.kind() == Kind.ACCEPTED || operation.kind() == Kind.CONFLICT) {
                ScenarioFailure.unless(
                        operation.revision() >= first && operation.revision() <= last,
                        "revisions between " + first + " and " + last,
                        operation);
                ScenarioFailure.unless(
                        earliest[(int) (operation.revision() - first)] <= operation.endNanos(),
                        "a linearizable history",
                        "revision " + operation.revision() + " before it can have begun: " + operation);
                ScenarioFailure.unless(
                        operation.kind() == Kind.ACCEPTED || operation.revision() != operation.expected(),
                        "no conflict with the expected revision",
                        operation);
            }
        }
    }

    /** Returns the earliest time at which the revision can have begun. */
    private long lowerBound(long revision, String winner) {
        long start = Long.MAX_VALUE;
        long bound = Long.MIN_VALUE;
        Set<Kind> kinds = new HashSet<>();
        for (Operation operation : operations) {
            boolean mayHaveSet = operation.expected() == revision - 1
                    && (operation.kind() == Kind.ACCEPTED
                            || operation.kind() == Kind.UNKNOWN
                            || operation.kind() == Kind.NOT_RUN)
                    && (winner == null || winner.equals(operation.marker()));
            if (mayHaveSet) {
                start = Math.min(start, operation.startNanos());
                kinds.add(operation.kind());
            }
            boolean readsEarlier = operation.kind() == Kind.CONFLICT && operation.revision() == revision - 1;
            if (readsEarlier) {
                bound = Math.max(bound, operation.startNanos());
            }
        }
        ScenarioFailure.unless(!kinds.isEmpty(), "an operation that set revision " + revision, "none");
        ScenarioFailure.unless(
                !kinds.equals(Set.of(Kind.NOT_RUN)),
                "no effect of an operation reported as not_run",
                "revision " + revision + " with text " + winner);
        return Math.max(bound, start);
    }
}
