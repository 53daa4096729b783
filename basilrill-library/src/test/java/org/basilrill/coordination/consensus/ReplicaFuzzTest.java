package org.basilrill.coordination.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;

/**
 * Injects random failures and checks each step against the oracle. At the end the network is healed and all replicas
 * are restarted; the cluster must then commit with all members and contain every acknowledged write.
 */
class ReplicaFuzzTest {
    private static final String SEED = "20261204";
    private static final int HEALING_MILLISECONDS = 30_000;

    /** Guards against sequences of failures that lose or change a committed record in a cluster of three replicas. */
    @Property(seed = SEED, tries = 1_500, shrinking = ShrinkingMode.BOUNDED)
    void threeReplicasKeepAcknowledgedWrites(@ForAll long seed, @ForAll("actions") List<Action> actions) {
        check(new VirtualCluster(seed, 3, VirtualCluster.smallSnapshots()), 3, actions);
    }

    /** Guards against the same with four replicas, where an unresponsive one is removed and rejoins. */
    @Property(seed = SEED, tries = 500, shrinking = ShrinkingMode.BOUNDED)
    void fourReplicasKeepAcknowledgedWrites(@ForAll long seed, @ForAll("actions") List<Action> actions) {
        check(new VirtualCluster(seed, 4, VirtualCluster.smallSnapshots()), 4, actions);
    }

    /** Guards against the same with five replicas, which tolerate the loss of two. */
    @Property(seed = SEED, tries = 500, shrinking = ShrinkingMode.BOUNDED)
    void fiveReplicasKeepAcknowledgedWrites(@ForAll long seed, @ForAll("actions") List<Action> actions) {
        check(new VirtualCluster(seed, 5, VirtualCluster.smallSnapshots()), 5, actions);
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Kind> kinds = Arbitraries.frequencyOf(
                Tuple.of(9, Arbitraries.of(Kind.WRITE, Kind.READ)),
                Tuple.of(6, Arbitraries.of(Kind.RESTART, Kind.RESUME)),
                Tuple.of(6, Arbitraries.of(Kind.RUN)),
                Tuple.of(2, Arbitraries.of(Kind.CRASH, Kind.CRASH_IN_WRITE, Kind.LOSE_DISK)),
                Tuple.of(
                        2,
                        Arbitraries.of(
                                Kind.ISOLATE,
                                Kind.ISOLATE_LEADER,
                                Kind.HEAL,
                                Kind.HEAL,
                                Kind.SET_MESSAGE_FAULTS,
                                Kind.CLEAR_MESSAGE_FAULTS)),
                Tuple.of(1, Arbitraries.of(Kind.HAND_OVER)),
                Tuple.of(1, Arbitraries.of(Kind.RESTART_ALL, Kind.REPAIR_THEN_LOSE_ANOTHER)));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 999))
                .as(Action::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(200);
    }

    private static void check(VirtualCluster cluster, int size, List<Action> actions) {
        cluster.runUntil(() -> cluster.leader().isPresent(), HEALING_MILLISECONDS);
        cluster.run(100);
        actions.forEach(action -> perform(cluster, size, action));
        heal(cluster, size);
        boolean converged = cluster.runUntil(() -> hasConverged(cluster, size), HEALING_MILLISECONDS);
        assertThat("converges after healing: " + cluster.statuses(), converged, is(true));
        for (int number = 0; number < size; number++) {
            cluster.oracle().checkAcknowledgedWrites(cluster.history(cluster.instance(number)));
        }
        cluster.oracle().verify();
        Statistics.label("replicas repaired")
                .collect(cluster.events().contains(LogEvent.LEARNER_ACCEPTED) ? "some" : "none");
        Statistics.label("snapshots received")
                .collect(cluster.events().contains(LogEvent.SNAPSHOT_INSTALLED) ? "some" : "none");
        Statistics.label("leaders without a quorum")
                .collect(cluster.events().contains(LogEvent.LEADER_WITHOUT_QUORUM) ? "some" : "none");
        Statistics.label("acknowledged writes, fifties")
                .collect(cluster.oracle().acknowledgedCount() / 50);
        Statistics.label("confirmed reads, tens").collect(cluster.oracle().confirmedReads() / 10);
    }

    private static void perform(VirtualCluster cluster, int size, Action action) {
        InstanceId instance = cluster.instance(action.argument() % size);
        switch (action.kind()) {
            case WRITE ->
                repeat(action.argument() % 40, () -> cluster.propose(chooseProposer(cluster, instance, action)));
            case READ ->
                repeat(1 + action.argument() % 5, () -> cluster.confirm(chooseProposer(cluster, instance, action)));
            case HAND_OVER -> cluster.handOver(chooseProposer(cluster, instance, action));
            case RUN -> cluster.run(action.argument());
            case CRASH -> cluster.crash(instance);
            case CRASH_IN_WRITE -> cluster.store(instance).failNextWrite(action.argument() % 2 == 0);
            case RESTART -> cluster.restart(instance);
            case RESUME -> cluster.resume(instance);
            case LOSE_DISK -> loseDisk(cluster, instance);
            case ISOLATE -> cluster.isolate(instance);
            case ISOLATE_LEADER -> isolateLeader(cluster, action.argument());
            case HEAL -> cluster.heal();
            case SET_MESSAGE_FAULTS ->
                cluster.setMessageFaults(action.argument() % 30, action.argument() % 20, action.argument() % 25);
            case CLEAR_MESSAGE_FAULTS -> cluster.setMessageFaults(0, 0, 0);
            case RESTART_ALL -> restartAll(cluster, size);
            case REPAIR_THEN_LOSE_ANOTHER -> repairThenLoseAnother(cluster, size, instance, action.argument());
            default -> throw new IllegalArgumentException(action.toString());
        }
    }

    /** Returns the leader in three of four cases, otherwise the given replica, which may be a deposed leader. */
    private static InstanceId chooseProposer(VirtualCluster cluster, InstanceId other, Action action) {
        return action.argument() % 4 == 0 ? other : cluster.leader().orElse(other);
    }

    /** Loses a disk only while all other replicas are members, because no log survives the loss of a majority. */
    private static void loseDisk(VirtualCluster cluster, InstanceId instance) {
        if (cluster.allOthersAreMembers(instance)) {
            cluster.loseDisk(instance);
        }
    }

    /** Isolates the leader and continues to write to it, possibly for longer than an election takes. */
    private static void isolateLeader(VirtualCluster cluster, int argument) {
        Optional<InstanceId> leader = cluster.leader();
        if (leader.isEmpty()) {
            return;
        }
        cluster.isolate(leader.get());
        for (int round = 0; round < 1 + argument % 10; round++) {
            cluster.propose(leader.get());
            cluster.confirm(leader.get());
            cluster.leader().ifPresent(cluster::propose);
            cluster.run(argument % 300);
        }
        if (argument % 2 == 0) {
            cluster.heal();
        }
    }

    private static void restartAll(VirtualCluster cluster, int size) {
        for (int number = 0; number < size; number++) {
            cluster.crash(cluster.instance(number));
        }
        for (int number = 0; number < size; number++) {
            cluster.restart(cluster.instance(number));
        }
    }

    private static void repairThenLoseAnother(VirtualCluster cluster, int size, InstanceId first, int argument) {
        InstanceId second = cluster.instance((argument + 1) % size);
        if (!cluster.allOthersAreMembers(first)) {
            return;
        }
        cluster.loseDisk(first);
        boolean repaired = cluster.runUntil(() -> cluster.allOthersAreMembers(second), 5_000);
        if (repaired) {
            cluster.loseDisk(second);
        }
    }

    private static void heal(VirtualCluster cluster, int size) {
        cluster.heal();
        cluster.setMessageFaults(0, 0, 0);
        for (int number = 0; number < size; number++) {
            cluster.store(cluster.instance(number)).repair();
            cluster.resume(cluster.instance(number));
            cluster.restart(cluster.instance(number));
        }
    }

    private static boolean hasConverged(VirtualCluster cluster, int size) {
        Optional<InstanceId> leader = cluster.leader();
        if (leader.isEmpty()) {
            return false;
        }
        ReplicaStatus leaderStatus = cluster.replica(leader.get()).status();
        boolean allMembers = cluster.statuses().stream()
                .allMatch(status -> leaderStatus.members().contains(status.self())
                        && status.commitIndex() == leaderStatus.lastIndex()
                        && status.members().equals(leaderStatus.members()));
        if (!allMembers || leaderStatus.members().voters().size() != size) {
            return false;
        }
        CompletableFuture<byte[]> write = cluster.propose(leader.get());
        CompletableFuture<Long> read = cluster.confirm(leader.get());
        cluster.run(200);
        return write.isDone()
                && !write.isCompletedExceptionally()
                && read.isDone()
                && !read.isCompletedExceptionally()
                && cluster.statuses().stream().allMatch(status -> status.commitIndex() >= read.join());
    }

    private static void repeat(int times, Runnable action) {
        for (int time = 0; time < times; time++) {
            action.run();
        }
    }

    /** The kind of a step. */
    enum Kind {
        WRITE,
        READ,
        HAND_OVER,
        RUN,
        CRASH,
        CRASH_IN_WRITE,
        RESTART,
        RESUME,
        LOSE_DISK,
        ISOLATE,
        ISOLATE_LEADER,
        HEAL,
        SET_MESSAGE_FAULTS,
        CLEAR_MESSAGE_FAULTS,
        RESTART_ALL,
        REPAIR_THEN_LOSE_ANOTHER
    }

    /** One step. The argument selects the replica, the count or the duration in milliseconds. */
    record Action(Kind kind, int argument) {}
}
