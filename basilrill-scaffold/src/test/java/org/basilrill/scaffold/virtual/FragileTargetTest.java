package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.scaffold.virtual.VirtualFleet.Content;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards targets that crash if they have to refuse more than a few requests in a second for want of room. */
class FragileTargetTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final int SLOTS = 6;
    private static final int REFUSAL_LIMIT = 4;
    private static final Duration DOWNTIME = Duration.ofSeconds(3);
    /** Time after the first statement in which targets may still run more than their room. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private int requests;

    @BeforeEach
    void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    /** Guards against instances each of which sends a little more than there is room for, which together is a flood. */
    @ParameterizedTest
    @CsvSource({"1, 12, 3, 30, 300", "2, 12, 3, 120, 300", "3, 12, 3, 400, 100", "4, 100, 24, 400, 300"})
    void targetsWithoutRoomAreNotFlooded(
            long seed, int instances, int targets, double requestsPerSecond, int runMillis) {
        VirtualFleet fleet = new VirtualFleet(seed, instances, targets, Optional.of("ledger"), Optional.empty());
        fleet.targets().forEach(target -> {
            target.setSlots(SLOTS);
            target.setRunTime(Duration.ofMillis(runMillis));
            target.crashOn(body -> false, DOWNTIME);
            target.stateInResponses(new HeaderField("x-refusal-limit", Integer.toString(REFUSAL_LIMIT)));
        });
        run(fleet, CONTACT, 20);
        fleet.targets().forEach(target -> target.refusals().limitRoom(SLOTS, REFUSAL_LIMIT));
        run(fleet, Duration.ofSeconds(20), requestsPerSecond);
        assertThat(crashes(fleet), lessThanOrEqualTo(2 + targets / 10));
        assertThat(servedPerSecond(fleet, 20), greaterThan(requestsPerSecond / 10));
    }

    private void run(VirtualFleet fleet, Duration duration, double requestsPerSecond) {
        fleet.run(duration, requestsPerSecond, Duration.ofSeconds(2), this::content);
    }

    private Content content() {
        return new Content("/v1/services/ledger/status", "request " + requests++);
    }

    private static int crashes(VirtualFleet fleet) {
        return fleet.targets().stream()
                .mapToInt(target -> target.crashNanos().size())
                .sum();
    }

    private static double servedPerSecond(VirtualFleet fleet, int seconds) {
        List<VirtualCaller> callers = fleet.callers();
        return (double) callers.stream().filter(VirtualCaller::succeeded).count() / seconds;
    }
}
