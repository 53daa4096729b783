package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.BeforeContainer;
import net.jqwik.api.statistics.Statistics;
import org.basilrill.api.InstanceId;

/**
 * Plays schedules of passing faults on virtual time. After the last fault has ended and the time of recovery has
 * passed, a change must be acknowledged in time and be applied by every replica. The clocks of the replicas are
 * monotonic, so steps of the time of day are not played.
 */
class ControlLogLivenessTest {
    private static final String SEED = "20261206";
    private static final int RECOVERY_MILLISECONDS = 12_000;
    private static final int ACKNOWLEDGEMENT_MILLISECONDS = 4_000;
    /** Kept so that the level is not lost with an unreferenced logger. */
    private static final Logger STORAGE_LOGGER = Logger.getLogger(ReplicaStorage.class.getName());

    @BeforeContainer
    static void omitOutagesFromTheLog() {
        STORAGE_LOGGER.setLevel(Level.OFF);
    }

    /** Guards against a log of three replicas that stays without a leader after faults that have passed. */
    @Property(seed = SEED, tries = 30, shrinking = ShrinkingMode.BOUNDED)
    void threeReplicasAcknowledgeAgainAfterPassingFaults(@ForAll long seed, @ForAll("faults") List<Fault> faults) {
        check(seed, 3, faults);
    }

    /** Guards against the same with four replicas, of which an unresponsive one is removed and is admitted again. */
    @Property(seed = SEED, tries = 10, shrinking = ShrinkingMode.BOUNDED)
    void fourReplicasAcknowledgeAgainAfterPassingFaults(@ForAll long seed, @ForAll("faults") List<Fault> faults) {
        check(seed, 4, faults);
    }

    /** Guards against the same with five replicas. */
    @Property(seed = SEED, tries = 6, shrinking = ShrinkingMode.BOUNDED)
    void fiveReplicasAcknowledgeAgainAfterPassingFaults(@ForAll long seed, @ForAll("faults") List<Fault> faults) {
        check(seed, 5, faults);
    }

    /**
     * Guards against a replica that does not take part again after its disk was full: with each disk full once, never
     * two at once, none would be left.
     */
    @Property(seed = SEED, tries = 6, shrinking = ShrinkingMode.BOUNDED)
    void threeReplicasAcknowledgeAgainAfterEachDiskWasFullTwice(
            @ForAll long seed, @ForAll("gaps") List<Integer> gaps, @ForAll boolean ofLeader) {
        VirtualDeployment deployment = VirtualDeployment.founded(seed, 3);
        for (int turn = 0; turn < gaps.size(); turn++) {
            InstanceId next = deployment.instance(turn % deployment.size());
            InstanceId chosen = ofLeader ? deployment.leader().orElse(next) : next;
            deployment.disk(chosen).setFull(true);
            deployment.run(100 + gaps.get(turn) % 6_000);
            deployment.disk(chosen).repair();
            deployment.run(gaps.get(turn));
        }
        checkRecovered(deployment);
    }

    @Provide
    Arbitrary<List<Integer>> gaps() {
        return Arbitraries.integers().between(100, 20_000).list().ofMinSize(6).ofMaxSize(8);
    }

    @Provide
    Arbitrary<List<Fault>> faults() {
        Arbitrary<Kind> kinds = Arbitraries.frequencyOf(
                Tuple.of(8, Arbitraries.of(Kind.FULL_DISK)),
                Tuple.of(4, Arbitraries.of(Kind.FAILING_WRITE, Kind.FULL_DISK_OF_LEADER)),
                Tuple.of(2, Arbitraries.of(Kind.HANGING_DISK, Kind.SLOW_DISK)),
                Tuple.of(2, Arbitraries.of(Kind.KILL, Kind.LOSE_POWER, Kind.REPLACE_DISK)),
                Tuple.of(2, Arbitraries.of(Kind.FREEZE, Kind.CUT, Kind.CUT_OF_LEADER, Kind.LOSE_MESSAGES)));
        Arbitrary<Integer> gaps = Arbitraries.frequencyOf(
                Tuple.of(2, Arbitraries.integers().between(1, 600)),
                Tuple.of(2, Arbitraries.integers().between(600, 5_000)),
                Tuple.of(1, Arbitraries.integers().between(5_000, 20_000)));
        Arbitrary<Integer> durations = Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.integers().between(50, 1_000)),
                Tuple.of(2, Arbitraries.integers().between(1_000, 8_000)));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 59), durations, gaps)
                .as(Fault::new)
                .list()
                .ofMinSize(4)
                .ofMaxSize(24);
    }

    private static void check(long seed, int size, List<Fault> faults) {
        VirtualDeployment deployment = VirtualDeployment.founded(seed, size);
        FaultPlayer player = new FaultPlayer(deployment);
        faults.forEach(player::play);
        player.awaitEnds();
        checkRecovered(deployment);
        Statistics.label("acknowledged changes, hundreds").collect(deployment.acknowledgedCount() / 100);
    }

    /** Ends all faults, and fails unless a change is acknowledged in time afterwards. */
    static void checkRecovered(VirtualDeployment deployment) {
        deployment.heal();
        deployment.run(RECOVERY_MILLISECONDS);
        Optional<Long> index = deployment.acknowledgeNext(ACKNOWLEDGEMENT_MILLISECONDS);
        assertThat("a change is acknowledged: " + deployment.statuses(), index.isPresent(), is(true));
        boolean applied =
                deployment.runUntil(() -> deployment.allApplied(index.orElseThrow()), ACKNOWLEDGEMENT_MILLISECONDS);
        assertThat("every replica applies " + index + ": " + deployment.statuses(), applied, is(true));
        deployment.checkAcknowledged();
    }

    /** The kind of a fault. */
    enum Kind {
        FULL_DISK,
        FULL_DISK_OF_LEADER,
        FAILING_WRITE,
        HANGING_DISK,
        SLOW_DISK,
        KILL,
        LOSE_POWER,
        REPLACE_DISK,
        FREEZE,
        CUT,
        CUT_OF_LEADER,
        LOSE_MESSAGES
    }

    /**
     * One fault.
     *
     * @param argument selects the replica and details of the fault
     * @param milliseconds duration of the fault
     * @param gapMilliseconds time from its begin to the next fault, which may begin before this one ends
     */
    record Fault(Kind kind, int argument, int milliseconds, int gapMilliseconds) {}
}
