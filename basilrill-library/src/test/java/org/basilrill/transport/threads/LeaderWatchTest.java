package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.consensus.MemberSet;
import org.basilrill.coordination.consensus.ReplicaId;
import org.basilrill.coordination.consensus.ReplicaRole;
import org.basilrill.coordination.consensus.ReplicaStatus;
import org.junit.jupiter.api.Test;

/** Observes one replica of three on a virtual clock. */
class LeaderWatchTest {
    private static final InstanceId SELF = new InstanceId("a");
    private static final InstanceId OTHER = new InstanceId("b");
    private static final InstanceId SILENT = new InstanceId("c");
    private static final long TICK_MILLISECONDS = 25;

    private final List<String> events = new ArrayList<>();
    private long nowMillis;
    private final LeaderWatch watch = new LeaderWatch(
            () -> Duration.ofMillis(nowMillis).toNanos(),
            (event, detail) -> events.add("E" + event.number() + " " + detail));

    /** Guards against a log without a majority of which no line and no gauge tells, or every tick tells. */
    @Test
    void theBeginAndTheEndAreReportedOnceWithTheSilentVoters() {
        observe(ReplicaRole.FOLLOWER, Optional.of(OTHER), 1_000);
        assertThat(watch.withoutLeader().isPresent(), is(false));
        observe(ReplicaRole.PRE_CANDIDATE, Optional.empty(), 5_000);
        assertThat(watch.withoutLeader().orElseThrow().toSeconds(), is(5L));
        observe(ReplicaRole.FOLLOWER, Optional.of(OTHER), 1_000);
        assertThat(watch.withoutLeader().isPresent(), is(false));
        assertThat(
                events,
                contains(
                        "E217 for 2000 ms, this replica is PRE_CANDIDATE, voters not heard: c#3",
                        "E218 after 5000 ms"));
    }

    /** Guards against a line for each election. */
    @Test
    void aShortElectionIsNoEvent() {
        observe(ReplicaRole.FOLLOWER, Optional.of(OTHER), 1_000);
        observe(ReplicaRole.CANDIDATE, Optional.empty(), 1_900);
        observe(ReplicaRole.LEADER, Optional.of(SELF), 1_000);
        assertThat(events, is(empty()));
    }

    /** Guards against a learner, which begins no election, that takes a silent leader for a live one. */
    @Test
    void aSilentLeaderIsNoLeader() {
        observe(ReplicaRole.LEARNER, Optional.of(OTHER), 1_000);
        observe(ReplicaRole.LEARNER, Optional.of(SILENT), 5_000);
        assertThat(watch.withoutLeader().isPresent(), is(true));
        assertThat(events.size(), is(1));
    }

    /** Guards against a gauge that stands still while the replica's thread hangs. */
    @Test
    void aHangingThreadKnowsNoLeader() {
        observe(ReplicaRole.FOLLOWER, Optional.of(OTHER), 1_000);
        nowMillis += 7_000;
        assertThat(watch.withoutLeader().orElseThrow().toSeconds(), is(7L));
    }

    /** Observes a status with every tick of the given time; one other replica is heard all the time. */
    private void observe(ReplicaRole role, Optional<InstanceId> leader, long milliseconds) {
        MemberSet members = new MemberSet(
                new TreeSet<>(List.of(new ReplicaId(SELF, 1), new ReplicaId(OTHER, 2), new ReplicaId(SILENT, 3))));
        ReplicaStatus status = new ReplicaStatus(new ReplicaId(SELF, 1), role, 1, leader, 1, 1, members);
        for (long passed = 0; passed < milliseconds; passed += TICK_MILLISECONDS) {
            watch.heard(OTHER);
            watch.observe(status);
            nowMillis += TICK_MILLISECONDS;
        }
    }
}
