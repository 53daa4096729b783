package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the request rates that targets state for all instances together. */
class TargetRateLimitTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final int RANDOM_SCENARIOS = 8;

    @BeforeEach
    void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    /** Guards against instances that ignore the limit of a target, or that each send what it allows to all. */
    @Test
    void instancesTogetherKeepTheRequestRateThatATargetStates() {
        RateLimitScenario scenario = new RateLimitScenario(1, 12, 6);
        scenario.stateRate(0, 1, 1);
        scenario.run(Duration.ofSeconds(20), 20, DEADLINE);
        assertThat(scenario.violation(0), is(Optional.empty()));
        assertThat(scenario.violation(1), is(Optional.empty()));
        assertThat(servedShare(scenario), greaterThan(0.99));
    }

    /** Guards against shares of less than one request that are rounded up, and against a rate that is barely used. */
    @Test
    void aRateBelowTheNumberOfInstancesIsKeptAndUsed() {
        RateLimitScenario scenario = new RateLimitScenario(2, 12, 1);
        scenario.stateRate(0, 0, 1);
        scenario.run(Duration.ofSeconds(30), 6, DEADLINE);
        assertThat(scenario.violation(0), is(Optional.empty()));
        assertThat(arrivals(scenario, 0, Duration.ofSeconds(20)), greaterThan(17L));
    }

    /** Guards against a hundred instances that each send a request a while after the limit was stated to them. */
    @Test
    void aHundredInstancesKeepAndUseARateOfOneRequestInTwoSeconds() {
        RateLimitScenario scenario = new RateLimitScenario(3, 100, 1);
        scenario.stateRate(0, 0, 0.5);
        scenario.run(Duration.ofSeconds(30), 10, DEADLINE);
        assertThat(scenario.violation(0), is(Optional.empty()));
        assertThat(arrivals(scenario, 0, Duration.ofSeconds(20)), greaterThan(7L));
    }

    /** Guards against the use of a small part of a high rate by a hundred instances. */
    @Test
    void aHundredInstancesUseARateOfFiftyRequestsPerSecond() {
        RateLimitScenario scenario = new RateLimitScenario(4, 100, 1);
        scenario.stateRate(0, 0, 50);
        scenario.run(Duration.ofSeconds(15), 70, DEADLINE);
        assertThat(scenario.violation(0), is(Optional.empty()));
        assertThat(arrivals(scenario, 0, Duration.ofSeconds(10)), greaterThan(400L));
    }

    /** Guards against requests that wait until their deadline although the stated rate can never serve them. */
    @Test
    void requestsThatTheRatesOfAllTargetsCannotServeAreRefusedImmediately() {
        RateLimitScenario scenario = new RateLimitScenario(5, 12, 3);
        scenario.stateRate(0, 2, 1);
        scenario.run(Duration.ofSeconds(10), 20, DEADLINE);
        int settled = scenario.callers().size();
        scenario.run(Duration.ofSeconds(10), 20, DEADLINE);
        List<VirtualCaller> refused = scenario
                .callers()
                .subList(settled, scenario.callers().size())
                .stream()
                .filter(caller -> caller.isFinished() && !caller.succeeded())
                .toList();
        assertThat(refused.size(), greaterThan(100));
        long immediate = refused.stream()
                .filter(caller -> caller.reportsNotRun() && caller.elapsed().compareTo(Duration.ofMillis(50)) < 0)
                .count();
        assertThat((double) immediate / refused.size(), greaterThan(0.9));
        for (int target = 0; target < 3; target++) {
            assertThat(scenario.violation(target), is(Optional.empty()));
            assertThat(arrivals(scenario, target, Duration.ofSeconds(10)), greaterThan(7L));
        }
    }

    /** Guards against a limit that is dropped because some responses do not state it. */
    @Test
    void aRateThatOnlySomeResponsesStateIsKept() {
        RateLimitScenario scenario = new RateLimitScenario(6, 12, 2);
        scenario.target(0).stateRate(OptionalDouble.of(2), 6);
        scenario.run(Duration.ofSeconds(25), 120, DEADLINE);
        assertThat(scenario.violation(0), is(Optional.empty()));
    }

    /** Guards against a rate that is used as first stated after the target has lowered or raised it. */
    @Test
    void aChangedRateReplacesTheEarlierOne() {
        RateLimitScenario scenario = new RateLimitScenario(7, 12, 1);
        scenario.stateRate(0, 0, 8);
        scenario.run(Duration.ofSeconds(10), 20, DEADLINE);
        scenario.stateRate(0, 0, 1);
        scenario.run(Duration.ofSeconds(15), 20, DEADLINE);
        assertThat(arrivals(scenario, 0, Duration.ofSeconds(8)), lessThan(12L));
        scenario.stateRate(0, 0, 8);
        scenario.run(Duration.ofSeconds(15), 20, DEADLINE);
        assertThat(arrivals(scenario, 0, Duration.ofSeconds(8)), greaterThan(50L));
        assertThat(scenario.violation(0), is(Optional.empty()));
    }

    /** Guards against a target that stays limited after it has stopped stating a rate. */
    @Test
    void aTargetThatNoLongerStatesARateIsUsedFully() {
        RateLimitScenario scenario = new RateLimitScenario(8, 12, 2);
        scenario.stateRate(0, 0, 1);
        scenario.run(Duration.ofSeconds(15), 20, DEADLINE);
        scenario.target(0).stateRate(OptionalDouble.empty(), 1);
        scenario.run(Duration.ofSeconds(20), 20, DEADLINE);
        assertThat(arrivals(scenario, 0, Duration.ofSeconds(8)), greaterThan(50L));
    }

    /** Guards against a successor of the issuer that issues again what the lost one has issued. */
    @Test
    void theRateIsKeptAndUsedAgainAfterTheLossOfTheIssuer() {
        RateLimitScenario scenario = new RateLimitScenario(9, 12, 1);
        scenario.stateRate(0, 0, 4);
        scenario.run(Duration.ofSeconds(10), 20, DEADLINE);
        InstanceId leader = scenario.deployment().leader().orElseThrow();
        scenario.deployment().crash(leader);
        scenario.run(Duration.ofSeconds(5), 20, DEADLINE);
        scenario.deployment().restart(leader);
        scenario.run(Duration.ofSeconds(15), 20, DEADLINE);
        assertThat(scenario.violation(0), is(Optional.empty()));
        assertThat(arrivals(scenario, 0, Duration.ofSeconds(10)), greaterThan(33L));
    }

    /** Guards against an isolated issuer that goes on issuing beside its successor. */
    @Test
    void anIsolatedIssuerAndItsSuccessorTogetherKeepTheRate() {
        RateLimitScenario scenario = new RateLimitScenario(10, 12, 1);
        scenario.stateRate(0, 0, 4);
        scenario.run(Duration.ofSeconds(10), 20, DEADLINE);
        InstanceId leader = scenario.deployment().leader().orElseThrow();
        scenario.network().cutFromPeers(leader, true);
        scenario.run(Duration.ofSeconds(10), 20, DEADLINE);
        scenario.network().cutFromPeers(leader, false);
        scenario.run(Duration.ofSeconds(10), 20, DEADLINE);
        assertThat(scenario.violation(0), is(Optional.empty()));
    }

    /** Guards against a limit that an instance does not know because it started after the limit was stated. */
    @Test
    void aRestartedInstanceKeepsTheRateStatedBefore() {
        RateLimitScenario scenario = new RateLimitScenario(11, 12, 1);
        scenario.stateRate(0, 0, 1);
        scenario.run(Duration.ofSeconds(10), 20, DEADLINE);
        List<InstanceId> others = scenario.deployment().instances().subList(3, 12);
        others.forEach(scenario.deployment()::crash);
        others.forEach(scenario.deployment()::restart);
        scenario.run(Duration.ofSeconds(15), 20, DEADLINE);
        assertThat(arrivals(scenario, 0, Duration.ofSeconds(8)), lessThan(12L));
    }

    /** Guards against permits that are used twice, or limits that are lost, under lost, repeated and late messages. */
    @Test
    void theRateIsKeptWithFaultyMessages() {
        for (int seed = 20; seed < 26; seed++) {
            RateLimitScenario scenario = new RateLimitScenario(seed, 12, 3);
            scenario.network().inject(new VirtualNetwork.Faults(0.05, 0.05, 0.02));
            scenario.stateRate(0, 1, 1 + seed % 3);
            scenario.run(Duration.ofSeconds(25), 20, DEADLINE);
            assertThat("seed " + seed, scenario.violation(0), is(Optional.empty()));
            assertThat("seed " + seed, scenario.violation(1), is(Optional.empty()));
        }
    }

    /** Guards against limits that do not survive crashes, isolations, faulty messages and changed rates together. */
    @Test
    void theRateIsKeptUnderRandomFaultsAndUsedAfterThem() {
        for (int seed = 100; seed < 100 + RANDOM_SCENARIOS; seed++) {
            RateLimitScenario scenario = new RateLimitScenario(seed, 12, 3);
            scenario.stateRate(0, 1, 2);
            scenario.network().inject(new VirtualNetwork.Faults(0.02, 0.02, seed % 2 == 0 ? 0.01 : 0));
            for (int event = 0; event < 10; event++) {
                scenario.run(Duration.ofMillis(1000 + 137 * (seed % 7)), 30, DEADLINE);
                scenario.applyRandomEvent();
            }
            scenario.run(Duration.ofSeconds(15), 30, DEADLINE);
            assertThat("seed " + seed, scenario.violation(0), is(Optional.empty()));
            assertThat("seed " + seed, scenario.violation(1), is(Optional.empty()));
            scenario.network().inject(VirtualNetwork.Faults.NONE);
            scenario.stateRate(0, 2, 3);
            scenario.run(Duration.ofSeconds(10), 30, DEADLINE);
            assertThat("seed " + seed, arrivals(scenario, 0, Duration.ofSeconds(5)), greaterThan(11L));
        }
    }

    private static long arrivals(RateLimitScenario scenario, int target, Duration last) {
        long from = scenario.time().nanos() - last.toNanos();
        return scenario.target(target).executions().stream()
                .filter(execution -> execution.nanos() >= from)
                .count();
    }

    private static double servedShare(RateLimitScenario scenario) {
        long finished =
                scenario.callers().stream().filter(VirtualCaller::isFinished).count();
        long served =
                scenario.callers().stream().filter(VirtualCaller::succeeded).count();
        return (double) served / finished;
    }
}
