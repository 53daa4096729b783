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

/** Exercises single failures of replicas on a virtual clock. */
class ReplicaTest {
    private static final long SEED = 41;
    private static final int PATIENCE = 10_000;

    /** Guards against a cluster that forms but cannot commit. */
    @Test
    void aNewClusterElectsALeaderAndCommits() {
        VirtualCluster cluster = formed(3);
        assertThat(commits(cluster), is(true));
    }

    /** Guards against a founding majority that forms a second cluster next to an unreachable one. */
    @Test
    void noClusterFormsWhileAFoundingReplicaIsUnreachable() {
        VirtualCluster cluster = new VirtualCluster(SEED, 3, ConsensusSettings.standard());
        cluster.isolate(cluster.instance(2));
        cluster.run(PATIENCE);
        assertThat(cluster.events(), not(hasItem(LogEvent.CLUSTER_FOUNDED)));
        cluster.heal();
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), PATIENCE), is(true));
    }

    /** Guards against losing the configuration silently when a majority of data folders is wiped. */
    @Test
    void aWipedMajorityNeverFoundsASecondCluster() {
        VirtualCluster cluster = formed(3);
        commits(cluster);
        cluster.events().clear();
        cluster.loseDisk(cluster.instance(0));
        cluster.loseDisk(cluster.instance(1));
        cluster.run(PATIENCE);
        assertThat(cluster.leader().isPresent(), is(false));
        assertThat(cluster.events(), hasItem(LogEvent.FOUNDING_REFUSED));
        assertThat(cluster.events(), not(hasItem(LogEvent.CLUSTER_FOUNDED)));
    }

    /** Guards against entries or terms that exist in memory only. */
    @Test
    void committedEntriesSurviveARestartOfAllReplicas() {
        VirtualCluster cluster = formed(3);
        IntStream.range(0, 300).forEach(number -> commits(cluster));
        int acknowledged = cluster.oracle().acknowledgedCount();
        IntStream.range(0, 3).forEach(number -> cluster.crash(cluster.instance(number)));
        IntStream.range(0, 3).forEach(number -> cluster.restart(cluster.instance(number)));
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), PATIENCE), is(true));
        assertThat(commits(cluster), is(true));
        cluster.oracle().complete(cluster.history(cluster.leader().orElseThrow()));
        assertThat(cluster.oracle().acknowledgedCount(), is(acknowledged + 1));
    }

    /** Guards against a planned stop that costs callers an election timeout, or a command that was acknowledged. */
    @Test
    void aLeaderThatHandsOverIsReplacedBeforeAnyElectionTimeout() {
        for (long seed = 0; seed < 20; seed++) {
            VirtualCluster cluster = formed(3, seed, ConsensusSettings.standard());
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
            assertThat(commits(cluster), is(true));
            assertThat(done.join(), is(true));
            cluster.oracle().complete(cluster.history(cluster.leader().orElseThrow()));
            cluster.oracle().verify();
        }
    }

    /** Guards against a leader that refuses proposals for good because its successor was lost. */
    @Test
    void aHandoverWithoutAnAnswerIsGivenUp() {
        VirtualCluster cluster = formed(3);
        InstanceId leader = cluster.leader().orElseThrow();
        IntStream.range(0, 3)
                .mapToObj(cluster::instance)
                .filter(other -> !other.equals(leader))
                .forEach(cluster::crash);
        CompletableFuture<Boolean> done = cluster.handOver(leader);
        assertThat(cluster.runUntil(done::isDone, PATIENCE), is(true));
        IntStream.range(0, 3).mapToObj(cluster::instance).forEach(cluster::restart);
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), PATIENCE), is(true));
        assertThat(commits(cluster), is(true));
    }

    /** Guards against a failover slower than the objective of 1 s. */
    @Test
    void commitsResumeWithinOneSecondOfLosingTheLeader() {
        for (long seed = 0; seed < 50; seed++) {
            VirtualCluster cluster = formed(3, seed, ConsensusSettings.standard());
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

    /** Guards against a returning replica that forces an election with a higher term. */
    @Test
    void aReplicaReturningFromAPartitionDoesNotDeposeTheLeader() {
        VirtualCluster cluster = formed(3);
        InstanceId leader = cluster.leader().orElseThrow();
        long term = cluster.replica(leader).status().term();
        InstanceId follower = followerOf(cluster, leader);
        cluster.isolate(follower);
        cluster.run(PATIENCE);
        cluster.heal();
        cluster.run(PATIENCE);
        assertThat(cluster.replica(leader).status().role(), is(ReplicaRole.LEADER));
        assertThat(cluster.replica(leader).status().term(), is(term));
    }

    /** Guards against an isolated leader that goes on answering. */
    @Test
    void anIsolatedLeaderStepsDownAndAnswersNoRead() {
        VirtualCluster cluster = formed(3);
        InstanceId old = cluster.leader().orElseThrow();
        cluster.isolate(old);
        CompletableFuture<Long> read = cluster.confirm(old);
        CompletableFuture<byte[]> write = cluster.propose(old);
        cluster.run(600);
        assertThat(cluster.replica(old).status().role(), not(ReplicaRole.LEADER));
        assertThat(read.isCompletedExceptionally(), is(true));
        assertThat(write.isCompletedExceptionally(), is(true));
        assertThat(commits(cluster), is(true));
    }

    /** Guards against a read answered from a round that began before it, or never answered. */
    @Test
    void readsOfOneGroupAreAnsweredTogetherAfterAQuorumRound() {
        VirtualCluster cluster = formed(3);
        commits(cluster);
        InstanceId leader = cluster.leader().orElseThrow();
        List<CompletableFuture<Long>> reads = IntStream.range(0, 20)
                .mapToObj(number -> cluster.confirm(leader))
                .toList();
        assertThat(reads.stream().map(CompletableFuture::isDone).toList(), everyItem(is(false)));
        cluster.run(60);
        assertThat(reads.stream().map(CompletableFuture::isDone).toList(), everyItem(is(true)));
    }

    /** Guards against a wiped replica that votes or counts under the identity it lost. */
    @Test
    void aWipedReplicaNeverVotesUnderItsOldIdentity() {
        VirtualCluster cluster = formed(3);
        commits(cluster);
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

    /** Guards against a repair that leaves the old incarnation in the member set, or takes two with one change. */
    @Test
    void aWipedReplicaIsCaughtUpBySnapshotAndReplacesItsOldIncarnation() {
        VirtualCluster cluster = formed(3, SEED, VirtualCluster.smallSnapshots());
        IntStream.range(0, 200).forEach(number -> commits(cluster));
        InstanceId wiped = followerOf(cluster, cluster.leader().orElseThrow());
        ReplicaId old = cluster.replica(wiped).status().self();
        cluster.events().clear();
        cluster.loseDisk(wiped);
        ReplicaId replacement = cluster.replica(wiped).status().self();
        assertThat(cluster.runUntil(() -> leaderCounts(cluster, replacement), PATIENCE), is(true));
        assertThat(cluster.replica(wiped).status().lastIndex(), is(greaterThan(200L)));
        cluster.run(200);
        assertThat(memberCounts(cluster), is(List.of(3, 2, 3)));
        ReplicaStatus status = cluster.replica(wiped).status();
        assertThat(status.members().contains(old), is(false));
        assertThat(status.members().voters().size(), is(3));
        assertThat(cluster.events(), hasItem(LogEvent.SNAPSHOT_INSTALLED));
        cluster.oracle().complete(cluster.history(wiped));
    }

    /** Guards against a repair that only looks complete: the second loss leaves the repaired replica decisive. */
    @Test
    void aSecondLossRightAfterARepairLosesNothing() {
        VirtualCluster cluster = formed(3, SEED, VirtualCluster.smallSnapshots());
        for (int round = 0; round < 12; round++) {
            IntStream.range(0, 30).forEach(number -> commits(cluster));
            InstanceId wiped = cluster.instance(round % 3);
            cluster.loseDisk(wiped);
            ReplicaId replacement = cluster.replica(wiped).status().self();
            assertThat(cluster.runUntil(() -> isMember(cluster, replacement), PATIENCE), is(true));
        }
        commits(cluster);
        cluster.oracle().complete(cluster.history(cluster.leader().orElseThrow()));
    }

    /** Guards against an instance outside the founding list that cannot join. */
    @Test
    void aNewInstanceBecomesAVoter() {
        VirtualCluster cluster = formed(3);
        InstanceId added = new InstanceId("replica-9");
        cluster.startEmpty(added);
        ReplicaId identity = cluster.replica(added).status().self();
        assertThat(cluster.runUntil(() -> isMember(cluster, identity), PATIENCE), is(true));
        assertThat(cluster.replica(added).status().members().voters().size(), is(4));
    }

    /** Guards against a dead voter beside its successor: four voters of which one is gone bear no further loss. */
    @Test
    void aVoterThatIsGoneLeavesForTheInstanceThatReplacesIt() {
        VirtualCluster cluster = formed(3);
        InstanceId gone = followerOf(cluster, cluster.leader().orElseThrow());
        ReplicaId lost = cluster.replica(gone).status().self();
        cluster.crash(gone);
        cluster.run(PATIENCE);
        ReplicaId successor = started(cluster, "replica-9");
        assertThat(cluster.runUntil(() -> isMember(cluster, successor), PATIENCE), is(true));
        assertThat(cluster.replica(successor.instance()).status().members().contains(lost), is(false));
        assertThat(cluster.replica(successor.instance()).status().members().voters(), hasSize(3));
        assertBearsALoss(cluster);
    }

    /** Guards against a voter that stays for good because its successor entered before the silence was noticed. */
    @Test
    void aVoterThatIsGoneLeavesAlsoAfterItsSuccessorEntered() {
        VirtualCluster cluster = formed(3);
        cluster.crash(followerOf(cluster, cluster.leader().orElseThrow()));
        ReplicaId successor = started(cluster, "replica-9");
        assertThat(cluster.runUntil(() -> voterCount(cluster) == 4, PATIENCE), is(true));
        assertThat(isMember(cluster, successor), is(true));
        int catchUp = 4_000;
        assertThat(cluster.runUntil(() -> voterCount(cluster) == 3, catchUp), is(true));
        assertBearsALoss(cluster);
    }

    /** Guards against a voter that was only cut off and is left out for good, or that returns under two identities. */
    @Test
    void aVoterRemovedWhileItWasCutOffReturns() {
        VirtualCluster cluster = formed(4);
        InstanceId cut = followerOf(cluster, cluster.leader().orElseThrow());
        ReplicaId identity = cluster.replica(cut).status().self();
        cluster.isolate(cut);
        assertThat(cluster.runUntil(() -> voterCount(cluster) == 3, PATIENCE), is(true));
        commits(cluster);
        cluster.heal();
        assertThat(cluster.runUntil(() -> isMember(cluster, identity) && voterCount(cluster) == 4, PATIENCE), is(true));
    }

    /** Guards against removing voters from an odd number, which would then bear fewer losses. */
    @Test
    void aSilentVoterStaysAmongThreeWhileNobodyTakesItsPlace() {
        VirtualCluster cluster = formed(3);
        cluster.crash(followerOf(cluster, cluster.leader().orElseThrow()));
        cluster.run(PATIENCE);
        assertThat(voterCount(cluster), is(3));
    }

    private static ReplicaId started(VirtualCluster cluster, String name) {
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

    private static void assertBearsALoss(VirtualCluster cluster) {
        cluster.run(200);
        cluster.crash(cluster.leader().orElseThrow());
        assertThat(commits(cluster), is(true));
        cluster.oracle().complete(cluster.history(cluster.leader().orElseThrow()));
        cluster.oracle().verify();
    }

    private static VirtualCluster formed(int size) {
        return formed(size, SEED, ConsensusSettings.standard());
    }

    private static VirtualCluster formed(int size, long seed, ConsensusSettings settings) {
        VirtualCluster cluster = new VirtualCluster(seed, size, settings);
        assertThat(cluster.runUntil(() -> cluster.leader().isPresent(), PATIENCE), is(true));
        cluster.run(100);
        return cluster;
    }

    private static boolean commits(VirtualCluster cluster) {
        for (int attempt = 0; attempt < 10; attempt++) {
            if (!cluster.runUntil(() -> cluster.leader().isPresent(), PATIENCE)) {
                return false;
            }
            CompletableFuture<byte[]> result = cluster.propose(cluster.leader().orElseThrow());
            cluster.runUntil(result::isDone, PATIENCE);
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

    private static boolean leaderCounts(VirtualCluster cluster, ReplicaId replica) {
        return cluster.leader()
                .filter(leader -> cluster.replica(leader).status().members().contains(replica))
                .isPresent();
    }

    /** Returns the sizes of the last member sets in the leader's log, from the snapshot on. */
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
