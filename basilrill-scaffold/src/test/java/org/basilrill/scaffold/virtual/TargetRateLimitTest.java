package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the request rates that targets state for all instances together. */
class TargetRateLimitTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final Duration DEADLINE = Duration.ofSeconds(2);

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
        assertThat(violation(scenario, 0), is(Optional.empty()));
        assertThat(violation(scenario, 1), is(Optional.empty()));
        assertThat(servedShare(scenario), greaterThan(0.99));
    }

    private static Optional<String> violation(RateLimitScenario scenario, int target) {
        return new RateLimitOracle(scenario.target(target))
                .violation(scenario.time().nanos());
    }

    private static double servedShare(RateLimitScenario scenario) {
        long finished =
                scenario.callers().stream().filter(VirtualCaller::isFinished).count();
        long served =
                scenario.callers().stream().filter(VirtualCaller::succeeded).count();
        return (double) served / finished;
    }
}
