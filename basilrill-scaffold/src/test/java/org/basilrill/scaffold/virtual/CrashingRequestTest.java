package org.basilrill.scaffold.virtual;

import static org.basilrill.scaffold.virtual.CrashingRequestScenario.POPULAR;
import static org.basilrill.scaffold.virtual.CrashingRequestScenario.RARE;
import static org.basilrill.scaffold.virtual.CrashingRequestScenario.crashing;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards targets against requests that crash them, and sound requests against the blame for crashes. */
class CrashingRequestTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final int INSTANCES = 5;
    /** Arrivals of a crashing request that are allowed once all instances have to know it, trials included. */
    private static final long ALLOWED_ARRIVALS = 3;

    /** Sound requests are served as often as the others of their service, but for this share. */
    private static final double ALLOWED_DIFFERENCE = 0.1;

    @BeforeEach
    void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    /** Guards against a sound request that is refused for a day because it ran at targets that ended by chance. */
    @ParameterizedTest
    @CsvSource({
        "1, 1, 1, 6",
        "2, 1, 1, 20",
        "3, 3, 1, 2",
        "4, 3, 1, 6",
        "5, 3, 2, 6",
        "6, 3, 3, 6",
        "7, 40, 1, 6",
        "8, 40, 20, 6",
        "9, 40, 40, 6"
    })
    void soundRequestsAreServedAlthoughTargetsEndByChance(long seed, int targets, int endedAtOnce, int pauseSeconds) {
        CrashingRequestScenario scenario = new CrashingRequestScenario(seed, INSTANCES, targets);
        scenario.run(Duration.ofSeconds(2));
        for (int round = 0; round < 6; round++) {
            scenario.endByChance(endedAtOnce);
            scenario.run(Duration.ofSeconds(pauseSeconds));
        }
        checkSoundRequests(scenario, 0);
    }

    /** Guards against a request that crashes targets for ever, at one target under one name or at many. */
    @ParameterizedTest
    @CsvSource({
        "11, 1, 2, 1",
        "12, 1, 4, 1",
        "13, 1, 12, 1",
        "14, 1, 4, 2",
        "15, 2, 4, 1",
        "16, 3, 2, 1",
        "17, 3, 4, 2",
        "18, 40, 2, 1",
        "19, 40, 4, 2",
        "20, 40, 12, 1"
    })
    void aCrashingRequestIsRefusedAndSoundOnesBesideItAreServed(
            long seed, int targets, int periodSeconds, int crashingRequests) {
        CrashingRequestScenario scenario = new CrashingRequestScenario(seed, INSTANCES, targets);
        scenario.runWithCrashing(Duration.ofSeconds(90), Duration.ofSeconds(periodSeconds), crashingRequests);
        for (int number = 0; number < crashingRequests; number++) {
            assertThat(scenario.lateArrivals(crashing(number)), lessThanOrEqualTo(ALLOWED_ARRIVALS));
        }
        checkSoundRequests(scenario, 0);
    }

    /** Guards against blame that moves between a crashing request and sound ones while targets also end by chance. */
    @ParameterizedTest
    @CsvSource({"21, 1, 4", "22, 2, 4", "23, 3, 2", "24, 3, 4", "25, 3, 12", "26, 40, 4"})
    void endsByChanceBesideACrashingRequestChangeNothing(long seed, int targets, int periodSeconds) {
        CrashingRequestScenario scenario = new CrashingRequestScenario(seed, INSTANCES, targets);
        for (int round = 0; round < 10; round++) {
            scenario.runWithCrashing(Duration.ofSeconds(8), Duration.ofSeconds(periodSeconds), 1);
            scenario.endByChance(1 + round % 2);
        }
        assertThat(scenario.lateArrivals(crashing(0)), lessThanOrEqualTo(ALLOWED_ARRIVALS));
        checkSoundRequests(scenario, 0);
    }

    /** Guards against a request that is refused for good although new targets bear it. */
    @Test
    void aRequestThatNoLongerCrashesTargetsIsServedAfterATrial() {
        CrashingRequestScenario scenario = new CrashingRequestScenario(31, INSTANCES, 3);
        scenario.runWithCrashing(Duration.ofSeconds(20), Duration.ofSeconds(4), 1);
        scenario.mendTargets();
        scenario.runWithCrashing(Duration.ofMinutes(14), Duration.ofSeconds(15), 1);
        int settled = scenario.fleet().callers().size();
        scenario.runWithCrashing(Duration.ofSeconds(8), Duration.ofSeconds(4), 1);
        assertThat(scenario.servedShare(settled, crashing(0)), is(1.0));
    }

    /** Guards against evidence that is lost with the leader of the control log, and a verdict with all processes. */
    @Test
    void aCrashingRequestIsRefusedAlthoughTheLeaderAndThenAllInstancesAreLost() {
        CrashingRequestScenario scenario = new CrashingRequestScenario(32, INSTANCES, 3);
        scenario.runWithCrashing(Duration.ofSeconds(6), Duration.ofSeconds(4), 1);
        VirtualInstances deployment = scenario.fleet().deployment();
        InstanceId leader = deployment.leader().orElseThrow();
        deployment.crash(leader);
        scenario.runWithCrashing(Duration.ofSeconds(12), Duration.ofSeconds(4), 1);
        deployment.restart(leader);
        scenario.run(Duration.ofSeconds(3));
        deployment.instances().forEach(deployment::crash);
        deployment.instances().forEach(deployment::restart);
        scenario.run(Duration.ofSeconds(5));
        scenario.runWithCrashing(Duration.ofSeconds(40), Duration.ofSeconds(4), 1);
        assertThat(scenario.lateArrivals(crashing(0)), lessThanOrEqualTo(ALLOWED_ARRIVALS));
    }

    private static void checkSoundRequests(CrashingRequestScenario scenario, int firstCaller) {
        double others = scenario.servedShareOfOthers(firstCaller);
        assertThat(scenario.servedShare(firstCaller, POPULAR), greaterThan(others - ALLOWED_DIFFERENCE));
        assertThat(scenario.servedShare(firstCaller, RARE), greaterThan(others - ALLOWED_DIFFERENCE));
    }
}
