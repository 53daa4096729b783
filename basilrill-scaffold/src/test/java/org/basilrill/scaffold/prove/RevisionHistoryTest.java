package org.basilrill.scaffold.prove;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.basilrill.scaffold.prove.RevisionHistory.Kind;
import org.basilrill.scaffold.prove.RevisionHistory.Operation;
import org.junit.jupiter.api.Test;

/** Guards against a checker of operator histories that accepts histories which are not linearizable. */
class RevisionHistoryTest {
    private final RevisionHistory history = new RevisionHistory();

    /** Guards against a checker that rejects overlapping operations, whose order is free. */
    @Test
    void acceptsAHistoryInWhichOverlappingOperationsCanBeOrdered() {
        add(0, 10, 1, "a", Kind.ACCEPTED, 2);
        add(2, 12, 1, "b", Kind.CONFLICT, 2);
        add(5, 30, 2, "c", Kind.ACCEPTED, 3);
        add(6, 20, 1, "d", Kind.CONFLICT, 2);

        history.check(1, 3, Map.of(2L, "a", 3L, "c"));

        assertThat(history.highestAcknowledgedBefore(10), is(2L));
    }

    /** Guards against two operators that both receive the result that they set the same revision. */
    @Test
    void rejectsTwoWinnersOfOneRevision() {
        add(0, 10, 1, "a", Kind.ACCEPTED, 2);
        add(0, 10, 1, "b", Kind.ACCEPTED, 2);

        assertFails(2, "one winner of revision 2");
    }

    /** Guards against a stale read by a former leader, which misses a revision accepted before the read began. */
    @Test
    void rejectsAReadOfARevisionThatWasReplacedBeforeTheReadBegan() {
        add(0, 10, 1, "a", Kind.ACCEPTED, 2);
        add(11, 15, 2, "b", Kind.ACCEPTED, 3);
        add(20, 30, 1, "c", Kind.CONFLICT, 2);

        assertFails(3, "linearizable");
    }

    /** Guards against a revision that is read before the operation that sets it has begun. */
    @Test
    void rejectsAReadOfARevisionBeforeItsWriteBegan() {
        add(0, 5, 7, "c", Kind.CONFLICT, 2);
        add(10, 20, 1, "a", Kind.ACCEPTED, 2);

        assertFails(2, "linearizable");
    }

    /** Guards against a change that takes effect although its operator received the outcome not_run. */
    @Test
    void rejectsTheEffectOfAnOperationReportedAsNotRun() {
        add(0, 5, 1, "a", Kind.NOT_RUN, 0);
        add(10, 20, 1, "b", Kind.CONFLICT, 2);

        ScenarioFailure failure = assertThrows(ScenarioFailure.class, () -> history.check(1, 2, Map.of(2L, "a")));
        assertThat(failure.getMessage(), containsString("not_run"));
    }

    /** Guards against a checker that treats a change with a lost response as one without effect. */
    @Test
    void acceptsTheLateEffectOfAnOperationWithoutResponse() {
        add(0, 5, 1, "a", Kind.UNKNOWN, 0);
        add(10, 20, 1, "b", Kind.CONFLICT, 2);

        history.check(1, 2, Map.of(2L, "a"));

        assertThat(history.size(), is(2));
    }

    private void add(long start, long end, long expected, String marker, Kind kind, long revision) {
        history.add(new Operation(start, end, expected, marker, kind, revision));
    }

    private void assertFails(long last, String reason) {
        ScenarioFailure failure = assertThrows(ScenarioFailure.class, () -> history.check(1, last, Map.of()));
        assertThat(failure.getMessage(), containsString(reason));
    }
}
