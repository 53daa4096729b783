package org.basilrill.coordination.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Snapshot;
import org.basilrill.state.log.DurableStore.Vote;
import org.basilrill.state.log.InMemoryDurableStore;
import org.junit.jupiter.api.Test;

/** Tests single failures of replicas with a virtual clock. */
class ReplicaTest {
    private static final long SEED = 41;
    private static final int TIME_LIMIT_MILLIS = 10_000;

    /** Guards against a cluster that forms but cannot commit. */
    @Test
    void aNewClusterElectsALeaderAndCommits() {
        VirtualCluster cluster = formedCluster(3);
        assertThat(commitsCommand(cluster), is(true));
    }

    /**
     * Guards against a majority of founders that forms a cluster although an unreachable founder may belong to another.
     */
    @Test
    void noClusterFormsWhileAFoundingReplicaIsUnreachable() {
        VirtualCluster cluster = new VirtualCluster(SEED, 3, ConsensusSettings.standard());
        cluster.isolate(cluster.instance(2));
        cluster.run(TIME_LIMIT_MILLIS);
        assertThat(cluster.events(), not(hasItem(LogEvent.CLUSTER_FOUNDED)));
        cluster.heal();
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), TIME_LIMIT_MILLIS), is(true));
    }

    /** Guards against losing the configuration silently when a majority of data folders is wiped. */
    @Test
    void aWipedMajorityNeverFoundsASecondCluster() {
        VirtualCluster cluster = formedCluster(3);
        commitsCommand(cluster);
        cluster.events().clear();
        cluster.loseDisk(cluster.instance(0));
        cluster.loseDisk(cluster.instance(1));
        cluster.run(TIME_LIMIT_MILLIS);
        assertThat(cluster.leader().isPresent(), is(false));
        assertThat(cluster.events(), hasItem(LogEvent.FOUNDING_REFUSED));
        assertThat(cluster.events(), not(hasItem(LogEvent.CLUSTER_FOUNDED)));
    }

    /** Guards against records or terms that exist only in memory. */
    @Test
    void committedEntriesSurviveARestartOfAllReplicas() {
        VirtualCluster cluster = formedCluster(3);
        IntStream.range(0, 300).forEach(number -> commitsCommand(cluster));
        int acknowledged = cluster.oracle().acknowledgedCount();
        IntStream.range(0, 3).forEach(number -> cluster.crash(cluster.instance(number)));
        IntStream.range(0, 3).forEach(number -> cluster.restart(cluster.instance(number)));
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), TIME_LIMIT_MILLIS), is(true));
        assertThat(commitsCommand(cluster), is(true));
        cluster.oracle()
                .checkAcknowledgedWrites(cluster.history(cluster.leader().orElseThrow()));
        assertThat(cluster.oracle().acknowledgedCount(), is(acknowledged + 1));
    }

    /**
     * Guards against a planned stop that makes callers wait for an election timeout, or loses an acknowledged command.
     */
    @Test
    void aLeaderThatHandsOverIsReplacedBeforeAnyElectionTimeout() {
        for (long seed = 0; seed < 20; seed++) {
            VirtualCluster cluster = formedCluster(3, seed, ConsensusSettings.standard());
            InstanceId leader = cluster.leader().orElseThrow();
            IntStream.range(0, 50).forEach(number -> cluster.propose(leader));
            CompletableFuture<Boolean> done = cluster.handOver(leader);
            int belowAnyElectionTimeout = 100;
            boolean replaced = cluster.runUntil(
                    () -> cluster.leader()
                            .filter(other -> !other.equals(leader))
                            .isPresent(),
                    belowAnyElectionTimeout);
            assertThat("seed " + seed, replaced, is(true));
            assertThat(commitsCommand(cluster), is(true));
            assertThat(done.join(), is(true));
            cluster.oracle()
                    .checkAcknowledgedWrites(cluster.history(cluster.leader().orElseThrow()));
            cluster.oracle().verify();
        }
    }

    /** Guards against a leader that rejects proposals permanently because its successor was lost. */
    @Test
    void aHandoverToUnresponsiveFollowersTimesOut() {
        VirtualCluster cluster = formedCluster(3);
        InstanceId leader = cluster.leader().orElseThrow();
        IntStream.range(0, 3)
                .mapToObj(cluster::instance)
                .filter(other -> !other.equals(leader))
                .forEach(cluster::crash);
        CompletableFuture<Boolean> done = cluster.handOver(leader);
        assertThat(cluster.runUntil(done::isDone, TIME_LIMIT_MILLIS), is(true));
        IntStream.range(0, 3).mapToObj(cluster::instance).forEach(cluster::restart);
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), TIME_LIMIT_MILLIS), is(true));
        assertThat(commitsCommand(cluster), is(true));
    }

    /** Guards against a failover slower than the objective of 1 s. */
    @Test
    void commitsResumeWithinOneSecondOfLosingTheLeader() {
        for (long seed = 0; seed < 50; seed++) {
            VirtualCluster cluster = formedCluster(3, seed, ConsensusSettings.standard());
            InstanceId lost = cluster.leader().orElseThrow();
            cluster.crash(lost);
            CompletableFuture<byte[]> next = new CompletableFuture<>();
            boolean resumed = cluster.runUntil(
                    () -> next.isDone()
                            || cluster.leader()
                                    .map(cluster::propose)
                                    .filter(result -> result.thenAccept(next::complete) != null)
                                    .filter(result -> next.isDone())
                                    .isPresent(),
                    1_000);
            assertThat("seed " + seed, resumed, is(true));
        }
    }

    /** Guards against a reconnected replica that forces an election with a higher term. */
    @Test
    void aReplicaReturningFromAPartitionDoesNotDeposeTheLeader() {
        VirtualCluster cluster = formedCluster(3);
        InstanceId leader = cluster.leader().orElseThrow();
        long term = cluster.replica(leader).status().term();
        InstanceId follower = followerOf(cluster, leader);
        cluster.isolate(follower);
        cluster.run(TIME_LIMIT_MILLIS);
        cluster.heal();
        cluster.run(TIME_LIMIT_MILLIS);
        assertThat(cluster.replica(leader).status().role(), is(ReplicaRole.LEADER));
        assertThat(cluster.replica(leader).status().term(), is(term));
    }

    /** Guards against an isolated leader that continues to confirm reads and writes. */
    @Test
    void anIsolatedLeaderStepsDownAndConfirmsNoRead() {
        VirtualCluster cluster = formedCluster(3);
        InstanceId old = cluster.leader().orElseThrow();
        cluster.isolate(old);
        CompletableFuture<Long> read = cluster.confirm(old);
        CompletableFuture<byte[]> write = cluster.propose(old);
        cluster.run(600);
        assertThat(cluster.replica(old).status().role(), not(ReplicaRole.LEADER));
        assertThat(read.isCompletedExceptionally(), is(true));
        assertThat(write.isCompletedExceptionally(), is(true));
        assertThat(commitsCommand(cluster), is(true));
    }

    /** Guards against a read that is confirmed by a round started before it, or never completes. */
    @Test
    void concurrentReadsShareOneQuorumRound() {
        VirtualCluster cluster = formedCluster(3);
        commitsCommand(cluster);
        InstanceId leader = cluster.leader().orElseThrow();
        List<CompletableFuture<Long>> reads = IntStream.range(0, 20)
                .mapToObj(number -> cluster.confirm(leader))
                .toList();
        assertThat(reads.stream().map(CompletableFuture::isDone).toList(), everyItem(is(false)));
        cluster.run(60);
        assertThat(reads.stream().map(CompletableFuture::isDone).toList(), everyItem(is(true)));
    }

    /** Guards against a wiped replica that votes under the identity it lost. */
    @Test
    void aWipedReplicaNeverVotesUnderItsOldIdentity() {
        VirtualCluster cluster = formedCluster(3);
        commitsCommand(cluster);
        InstanceId wiped = followerOf(cluster, cluster.leader().orElseThrow());
        ReplicaId old = cluster.replica(wiped).status().self();
        cluster.loseDisk(wiped);
        cluster.replica(wiped)
                .received(
                        cluster.instance(0),
                        new AddressedMessage(
                                cluster.store(cluster.instance(0)).incarnation(),
                                old.incarnation(),
                                new ConsensusMessage.VoteRequest(99, 99, 99, false)));
        assertThat(cluster.store(wiped).vote(), is(new Vote(0, Optional.empty())));
    }

    /**
     * Guards against a repair that leaves the old incarnation in the member set, or replaces a voter in a single
     * change.
     */
    @Test
    void aWipedReplicaIsCaughtUpBySnapshotAndReplacesItsOldIncarnation() {
        VirtualCluster cluster = formedCluster(3, SEED, VirtualCluster.smallSnapshots());
        IntStream.range(0, 200).forEach(number -> commitsCommand(cluster));
        InstanceId wiped = followerOf(cluster, cluster.leader().orElseThrow());
        ReplicaId old = cluster.replica(wiped).status().self();
        cluster.events().clear();
        cluster.loseDisk(wiped);
        ReplicaId replacement = cluster.replica(wiped).status().self();
        assertThat(cluster.runUntil(() -> leaderListsMember(cluster, replacement), TIME_LIMIT_MILLIS), is(true));
        assertThat(cluster.replica(wiped).status().lastIndex(), is(greaterThan(200L)));
        cluster.run(200);
        assertThat(memberCounts(cluster), is(List.of(3, 2, 3)));
        ReplicaStatus status = cluster.replica(wiped).status();
        assertThat(status.members().contains(old), is(false));
        assertThat(status.members().voters().size(), is(3));
        assertThat(cluster.events(), hasItem(LogEvent.SNAPSHOT_INSTALLED));
        cluster.oracle().checkAcknowledgedWrites(cluster.history(wiped));
    }

    /**
     * Guards against a repair that only seems complete: after a second loss the majority depends on the repaired
     * replica.
     */
    @Test
    void aSecondLossRightAfterARepairLosesNothing() {
        VirtualCluster cluster = formedCluster(3, SEED, VirtualCluster.smallSnapshots());
        for (int round = 0; round < 12; round++) {
            IntStream.range(0, 30).forEach(number -> commitsCommand(cluster));
            InstanceId wiped = cluster.instance(round % 3);
            cluster.loseDisk(wiped);
            ReplicaId replacement = cluster.replica(wiped).status().self();
            assertThat(cluster.runUntil(() -> isMember(cluster, replacement), TIME_LIMIT_MILLIS), is(true));
        }
        commitsCommand(cluster);
        cluster.oracle()
                .checkAcknowledgedWrites(cluster.history(cluster.leader().orElseThrow()));
    }

    /** Guards against an instance that cannot join because it is not a founder. */
    @Test
    void aNewInstanceBecomesAVoter() {
        VirtualCluster cluster = formedCluster(3);
        InstanceId added = new InstanceId("replica-9");
        cluster.startEmpty(added);
        ReplicaId identity = cluster.replica(added).status().self();
        assertThat(cluster.runUntil(() -> isMember(cluster, identity), TIME_LIMIT_MILLIS), is(true));
        assertThat(cluster.replica(added).status().members().voters().size(), is(4));
    }

    /**
     * Guards against an unresponsive voter that stays after its replacement joined: four voters with one lost tolerate
     * no second loss.
     */
    @Test
    void anUnresponsiveVoterIsReplacedByANewReplica() {
        VirtualCluster cluster = formedCluster(3);
        InstanceId unresponsive = followerOf(cluster, cluster.leader().orElseThrow());
        ReplicaId lost = cluster.replica(unresponsive).status().self();
        cluster.crash(unresponsive);
        cluster.run(TIME_LIMIT_MILLIS);
        ReplicaId successor = startReplica(cluster, "replica-9");
        assertThat(cluster.runUntil(() -> isMember(cluster, successor), TIME_LIMIT_MILLIS), is(true));
        assertThat(cluster.replica(successor.instance()).status().members().contains(lost), is(false));
        assertThat(cluster.replica(successor.instance()).status().members().voters(), hasSize(3));
        assertToleratesLeaderLoss(cluster);
    }

    /** Guards against a lost voter that is never removed because its replacement joined before the voter timeout. */
    @Test
    void anUnresponsiveVoterIsRemovedAfterItsReplacementJoined() {
        VirtualCluster cluster = formedCluster(3);
        cluster.crash(followerOf(cluster, cluster.leader().orElseThrow()));
        ReplicaId successor = startReplica(cluster, "replica-9");
        assertThat(cluster.runUntil(() -> voterCount(cluster) == 4, TIME_LIMIT_MILLIS), is(true));
        assertThat(isMember(cluster, successor), is(true));
        int catchUp = 4_000;
        assertThat(cluster.runUntil(() -> voterCount(cluster) == 3, catchUp), is(true));
        assertToleratesLeaderLoss(cluster);
    }

    /**
     * Guards against a temporarily isolated voter that is excluded permanently, or that rejoins under two identities.
     */
    @Test
    void aVoterRemovedWhileIsolatedRejoins() {
        VirtualCluster cluster = formedCluster(4);
        InstanceId isolated = followerOf(cluster, cluster.leader().orElseThrow());
        ReplicaId identity = cluster.replica(isolated).status().self();
        cluster.isolate(isolated);
        assertThat(cluster.runUntil(() -> voterCount(cluster) == 3, TIME_LIMIT_MILLIS), is(true));
        commitsCommand(cluster);
        cluster.heal();
        assertThat(
                cluster.runUntil(() -> isMember(cluster, identity) && voterCount(cluster) == 4, TIME_LIMIT_MILLIS),
                is(true));
    }

    /** Guards against removing voters from an odd number, which would then tolerate fewer losses. */
    @Test
    void anUnresponsiveVoterOfThreeStaysWithoutAReplacement() {
        VirtualCluster cluster = formedCluster(3);
        cluster.crash(followerOf(cluster, cluster.leader().orElseThrow()));
        cluster.run(TIME_LIMIT_MILLIS);
        assertThat(voterCount(cluster), is(3));
    }

    private static ReplicaId startReplica(VirtualCluster cluster, String name) {
        InstanceId added = new InstanceId(name);
        cluster.startEmpty(added);
        return cluster.replica(added).status().self();
    }

    private static int voterCount(VirtualCluster cluster) {
        return cluster.leader()
                .map(leader ->
                        cluster.replica(leader).status().members().voters().size())
                .orElse(0);
    }

    private static void assertToleratesLeaderLoss(VirtualCluster cluster) {
        cluster.run(200);
        cluster.crash(cluster.leader().orElseThrow());
        assertThat(commitsCommand(cluster), is(true));
        cluster.oracle()
                .checkAcknowledgedWrites(cluster.history(cluster.leader().orElseThrow()));
        cluster.oracle().verify();
    }

    private static VirtualCluster formedCluster(int size) {
        return formedCluster(size, SEED, ConsensusSettings.standard());
    }

    private static VirtualCluster formedCluster(int size, long seed, ConsensusSettings settings) {
        VirtualCluster cluster = new VirtualCluster(seed, size, settings);
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), TIME_LIMIT_MILLIS), is(true));
        cluster.run(100);
        return cluster;
    }

    private static boolean commitsCommand(VirtualCluster cluster) {
        for (int attempt = 0; attempt < 10; attempt++) {
            if (!cluster.runUntil(() -> cluster.leader().isPresent(), TIME_LIMIT_MILLIS)) {
                return false;
            }
            CompletableFuture<byte[]> result = cluster.propose(cluster.leader().orElseThrow());
            cluster.runUntil(result::isDone, TIME_LIMIT_MILLIS);
            if (result.isDone() && !result.isCompletedExceptionally()) {
                return true;
            }
        }
        return false;
    }

    private static InstanceId followerOf(VirtualCluster cluster, InstanceId leader) {
        return IntStream.range(0, 3)
                .mapToObj(cluster::instance)
                .filter(instance -> !instance.equals(leader))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private static boolean leaderListsMember(VirtualCluster cluster, ReplicaId replica) {
        return cluster.leader()
                .filter(leader -> cluster.replica(leader).status().members().contains(replica))
                .isPresent();
    }

    /** Returns the sizes of the member sets in the leader's snapshot and log, in order. */
    private static List<Integer> memberCounts(VirtualCluster cluster) {
        InMemoryDurableStore store = cluster.store(cluster.leader().orElseThrow());
        Stream<byte[]> encoded = Stream.concat(
                store.snapshot().map(Snapshot::members).stream(),
                store.read(1, Integer.MAX_VALUE).stream()
                        .filter(stored -> stored.kind() == RecordKind.MEMBERS)
                        .map(LogRecord::payload));
        return encoded.map(members -> MemberSet.decode(members).voters().size()).toList();
    }

    private static boolean isMember(VirtualCluster cluster, ReplicaId replica) {
        return cluster.replica(replica.instance()).status().members().contains(replica);
    }
}
