package org.basilrill.coordination.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.api.Test;

/** Tests the replication of commands that take longer to send than the interval between heartbeats. */
class ReplicationOverLinksTest {
    /** Six replicas, as in the largest deployment, on links of 100 Mbit/s. */
    private static final int REPLICAS = 6;

    private static final long LINK_BYTES_PER_MILLISECOND = 12_500;

    /** Size of rules with 1,700 routes. */
    private static final int COMMAND_BYTES = 400_000;

    private static final int COMMANDS = 10;
    private static final int COMMAND_INTERVAL_MILLIS = 500;
    private static final int TIME_LIMIT_MILLIS = 10_000;

    /**
     * Guards against links that carry only copies of records on their way to a follower: each was sent again at every
     * heartbeat until no commit, heartbeat or vote arrived in time.
     */
    @Test
    void largeCommandsAreCommittedInTimeAndSentToEachFollowerOnce() {
        VirtualCluster cluster = new VirtualCluster(47, REPLICAS, ConsensusSettings.standard());
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), TIME_LIMIT_MILLIS), is(true));
        cluster.run(TIME_LIMIT_MILLIS);
        InstanceId leader = cluster.leader().orElseThrow();
        cluster.links().limit(LINK_BYTES_PER_MILLISECOND);
        long sentBefore = cluster.links().sentBytes();
        List<CompletableFuture<byte[]>> results = new ArrayList<>();
        for (int number = 0; number < COMMANDS; number++) {
            results.add(cluster.propose(leader, COMMAND_BYTES));
            cluster.run(COMMAND_INTERVAL_MILLIS);
            assertThat(
                    "command " + number + " is committed", results.get(number).isDone(), is(true));
        }
        assertThat(cluster.leader().orElseThrow(), is(leader));
        long needed = (long) COMMANDS * COMMAND_BYTES * (REPLICAS - 1);
        assertThat("bytes", cluster.links().sentBytes() - sentBefore, lessThan(needed * 5 / 4));
    }
}
