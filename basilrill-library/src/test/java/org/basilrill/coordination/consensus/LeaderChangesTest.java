package org.basilrill.coordination.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against leaders in quick succession, which kept all instances without confirmed rules after a power loss. */
class LeaderChangesTest {
    private final LeaderChanges changes = new LeaderChanges();

    private static long at(double seconds) {
        return (long) (seconds * Duration.ofSeconds(1).toNanos());
    }

    /** Pattern: the leader is lost once. */
    @Test
    void oneChangeOfTheLeaderLengthensNothing() {
        changes.leads(2, at(0));
        assertThat(changes.patience(at(60)), is(1));
        changes.leads(3, at(60));
        assertThat(changes.patience(at(60.5)), is(1));
    }

    /** Pattern: all replicas start at once on busy processors, and each leader is deposed before it is heard. */
    @Test
    void leadersInQuickSuccessionDoubleTheTimeoutsUpToALimit() {
        changes.leads(5, at(38.5));
        changes.leads(6, at(39.1));
        assertThat(changes.patience(at(39.2)), is(2));
        changes.leads(7, at(39.6));
        assertThat(changes.patience(at(39.7)), is(4));
        changes.leads(8, at(40.1));
        changes.leads(9, at(41.1));
        assertThat(changes.patience(at(41.2)), is(4));
    }

    @Test
    void theTimeoutsAreTheUsualOnesAgainAfterAQuietTime() {
        changes.leads(5, at(38.5));
        changes.leads(6, at(39.1));
        assertThat(changes.patience(at(44.2)), is(1));
    }

    @Test
    void theSameLeaderHeardAgainIsNoChange() {
        changes.leads(5, at(1));
        changes.leads(5, at(2));
        changes.leads(5, at(3));
        assertThat(changes.patience(at(3)), is(1));
    }
}
