package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the engines against a part of prompts that crashes each one that begins to respond to it. */
class CrashingPartTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    /** Crashes after which instances in contact with the others know the part. */
    private static final int KNOWN_AFTER_CRASHES = 5;
    /** Requests with the part that may arrive at engines after that. */
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
        long known =
                scenario.crashNanos(KNOWN_AFTER_CRASHES).orElse(Long.MAX_VALUE - CrashingPartScenario.CONTACT.toNanos())
                        + CrashingPartScenario.CONTACT.toNanos();
        assertThat(scenario.crashingArrivalsAfter(known), lessThanOrEqualTo(ALLOWED_ARRIVALS));
        int settled = scenario.fleet().callers().size();
        scenario.run(Duration.ofSeconds(20), 40, 0.05, 1);
        assertThat(scenario.soundServedShareFrom(settled), greaterThan(0.99));
    }
}
