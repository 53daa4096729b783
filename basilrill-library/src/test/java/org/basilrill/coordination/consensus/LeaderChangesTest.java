package org.basilrill.coordination.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against frequent leader changes, which left all instances without confirmed rules after a power loss. */
class LeaderChangesTest {
    private final LeaderChanges changes = new LeaderChanges();

    private static long at(double seconds) {
        return (long) (seconds * Duration.ofSeconds(1).toNanos());
    }

    /** The leader is lost once. */
    @Test
    void oneLeaderChangeKeepsTheTimeouts() {
        changes.recordLeader(2, at(0));
        assertThat(changes.timeoutFactor(at(60)), is(1));
        changes.recordLeader(3, at(60));
        assertThat(changes.timeoutFactor(at(60.5)), is(1));
    }

    /**
     * All replicas start at once on busy processors, and each leader is deposed before its first heartbeat is
     * processed.
     */
    @Test
    void frequentLeaderChangesDoubleTheTimeoutsUpToALimit() {
        changes.recordLeader(5, at(38.5));
        changes.recordLeader(6, at(39.1));
        assertThat(changes.timeoutFactor(at(39.2)), is(2));
        changes.recordLeader(7, at(39.6));
        assertThat(changes.timeoutFactor(at(39.7)), is(4));
        changes.recordLeader(8, at(40.1));
        changes.recordLeader(9, at(41.1));
        assertThat(changes.timeoutFactor(at(41.2)), is(4));
    }

    @Test
    void timeoutsAreResetOnceChangesLeaveTheWindow() {
        changes.recordLeader(5, at(38.5));
        changes.recordLeader(6, at(39.1));
        assertThat(changes.timeoutFactor(at(44.2)), is(1));
    }

    @Test
    void repeatedContactWithOneLeaderIsNoChange() {
        changes.recordLeader(5, at(1));
        changes.recordLeader(5, at(2));
        changes.recordLeader(5, at(3));
        assertThat(changes.timeoutFactor(at(3)), is(1));
    }
}
