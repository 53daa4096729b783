package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the engines against a part of prompts that crashes each one that begins to respond to it. */
class CrashingPartTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    /** Requests with the part that may arrive at engines once all instances have to know it. */
    private static final long ALLOWED_ARRIVALS = 3;

    @BeforeEach
    void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    /** Guards against one engine after the other lost to requests that share a part but are never the same twice. */
    @Test
    void aPromptPartThatCrashesEnginesIsRefusedEverywhereAfterAFewCrashes() {
        CrashingPartScenario scenario = new CrashingPartScenario(1, 12, 6);
        scenario.run(Duration.ofSeconds(30), 40, 0.05, 1);
        assertThat(scenario.arrivalsAfterVerdict(), lessThanOrEqualTo(ALLOWED_ARRIVALS));
        int settled = scenario.fleet().callers().size();
        scenario.run(Duration.ofSeconds(20), 40, 0.05, 1);
        assertThat(scenario.soundServedShareFrom(settled), greaterThan(0.99));
    }

    /** Guards against a verdict that a high share of such requests, or a second part, delays. */
    @Test
    void twoPartsInAThirdOfTheRequestsAreRefusedAndTheOthersServed() {
        CrashingPartScenario scenario = new CrashingPartScenario(2, 12, 6);
        scenario.run(Duration.ofSeconds(30), 40, 0.33, 2);
        int settled = scenario.fleet().callers().size();
        long crashes = scenario.crashes();
        scenario.run(Duration.ofSeconds(20), 40, 0.33, 2);
        assertThat(scenario.crashes(), is(crashes));
        assertThat(scenario.soundServedShareFrom(settled), greaterThan(0.99));
    }

    /** Guards against a hundred instances that each have to see crashes of their own. */
    @Test
    void aHundredInstancesRefuseThePartAfterAFewCrashesInAll() {
        CrashingPartScenario scenario = new CrashingPartScenario(3, 100, 20);
        scenario.run(Duration.ofSeconds(20), 60, 0.05, 1);
        assertThat(scenario.arrivalsAfterVerdict(), lessThanOrEqualTo(ALLOWED_ARRIVALS));
    }

    /** Guards against evidence that is lost with the leader of the control log between two crashes. */
    @Test
    void thePartIsRefusedAlthoughTheLeaderIsLostAfterTheSecondCrash() {
        CrashingPartScenario scenario = new CrashingPartScenario(4, 12, 6);
        while (scenario.crashes() < 2) {
            scenario.run(Duration.ofMillis(100), 40, 0.05, 1);
        }
        VirtualInstances deployment = scenario.fleet().deployment();
        InstanceId leader = deployment.leader().orElseThrow();
        deployment.crash(leader);
        scenario.run(Duration.ofSeconds(10), 40, 0.05, 1);
        deployment.restart(leader);
        scenario.run(Duration.ofSeconds(15), 40, 0.05, 1);
        assertThat(scenario.arrivalsAfterVerdict(), lessThanOrEqualTo(ALLOWED_ARRIVALS));
    }

    /** Guards against a verdict that is forgotten when all processes end at once, or that a new process lacks. */
    @Test
    void thePartIsStillRefusedAfterAllInstancesWereRestarted() {
        CrashingPartScenario scenario = new CrashingPartScenario(5, 12, 6);
        scenario.run(Duration.ofSeconds(20), 40, 0.05, 1);
        long crashes = scenario.crashes();
        VirtualInstances deployment = scenario.fleet().deployment();
        deployment.instances().forEach(deployment::crash);
        deployment.instances().forEach(deployment::restart);
        scenario.run(Duration.ofSeconds(20), 40, 0.05, 1);
        assertThat(scenario.crashes(), is(crashes));
    }

    /** Guards against prompts that are held responsible for engines that crash by themselves, one or all at a time. */
    @Test
    void crashesWithoutACrashingPartBlockNothing() {
        CrashingPartScenario scenario = new CrashingPartScenario(6, 12, 6);
        for (int round = 0; round < 12; round++) {
            int crashing = round % 3 == 0 ? 6 : 1 + round % 3;
            for (int engine = 0; engine < crashing; engine++) {
                scenario.crashEngine((round + engine) % 6, Duration.ofSeconds(2));
            }
            scenario.run(Duration.ofSeconds(3), 40, 0, 1);
        }
        int settled = scenario.fleet().callers().size();
        scenario.run(Duration.ofSeconds(10), 40, 0, 1);
        assertThat(scenario.refusedForPart(0), is(0L));
        assertThat(scenario.soundServedShareFrom(settled), greaterThan(0.99));
    }

    /** Guards against a refusal that waits, is not true, or differs between instances. */
    @Test
    void theRefusalComesImmediatelyAndStatesThatTheRequestDidNotRun() {
        CrashingPartScenario scenario = new CrashingPartScenario(7, 12, 6);
        scenario.run(Duration.ofSeconds(20), 40, 0.05, 1);
        int settled = scenario.fleet().callers().size();
        scenario.run(Duration.ofSeconds(20), 40, 0.05, 1);
        List<VirtualCaller> callers = scenario.crashingCallersFrom(settled);
        assertThat(callers.size(), greaterThan(20));
        assertThat(scenario.refusedForPart(settled), is((long) callers.size()));
        assertThat(
                callers.stream()
                        .allMatch(caller ->
                                caller.reportsNotRun() && caller.elapsed().compareTo(Duration.ofMillis(10)) < 0),
                is(true));
    }

    /** Guards against a part that is refused for good although new engines bear it. */
    @Test
    void aPartThatNoLongerCrashesEnginesIsServedAgainAfterATrial() {
        CrashingPartScenario scenario = new CrashingPartScenario(8, 12, 6);
        scenario.run(Duration.ofSeconds(20), 40, 0.05, 1);
        scenario.mendEngines();
        scenario.run(Duration.ofSeconds(90), 10, 0.2, 1);
        int settled = scenario.fleet().callers().size();
        scenario.run(Duration.ofSeconds(10), 10, 0.2, 1);
        assertThat(scenario.refusedForPart(settled), is(0L));
    }

    /** Guards against trials that crash more engines than the verdict allows. */
    @Test
    void aTrialOfAPartThatStillCrashesEnginesCostsOneEngine() {
        CrashingPartScenario scenario = new CrashingPartScenario(9, 12, 6);
        scenario.run(Duration.ofSeconds(20), 40, 0.05, 1);
        long crashes = scenario.crashes();
        scenario.run(Duration.ofSeconds(100), 20, 0.2, 1);
        assertThat(scenario.crashes(), is(crashes + 1));
    }
}
