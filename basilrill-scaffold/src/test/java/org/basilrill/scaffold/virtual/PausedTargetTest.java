package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.protocol.caller.HeaderField;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards targets that refuse a request and name a time in which they want no other one. */
class PausedTargetTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final HeaderField TEN_SECONDS = new HeaderField("retry-after", "10");
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    /** Requests of one instance that may reach a target after the first refusal, as they were under way. */
    private static final long ALLOWED_REQUESTS = 2;

    @BeforeEach
    void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    /** Guards against requests and retries that go on to a target which asked for a pause. */
    @Test
    void anInstanceSendsNothingToATargetUntilThePauseEnds() {
        VirtualFleet fleet = fleet(1);
        VirtualTarget paused = fleet.target(0);
        paused.refusals().refuseAll(TEN_SECONDS);
        run(fleet, Duration.ofSeconds(9));
        for (InstanceId instance : fleet.deployment().instances()) {
            assertThat(refusals(paused, instance), lessThanOrEqualTo(1 + ALLOWED_REQUESTS));
        }
        assertThat(fleet.servedShare(0, id -> true), greaterThan(0.99));
    }

    /** Guards against callers that wait for targets none of which wants a request in time. */
    @Test
    void requestsAreRefusedAtOnceWithTheShortestPause() {
        VirtualFleet fleet = fleet(2);
        fleet.targets().forEach(target -> target.refusals().refuseAll(TEN_SECONDS));
        run(fleet, Duration.ofSeconds(6));
        int settled = fleet.callers().size();
        run(fleet, Duration.ofSeconds(2));
        List<VirtualCaller> callers =
                fleet.callers().subList(settled, fleet.callers().size());
        assertThat(fleet.allRefusedAtOnce(settled), is(true));
        assertThat(
                fleet.callersFrom(settled).stream()
                        .allMatch(caller -> caller.receivedText().contains("retry_after_ms")),
                is(true));
    }

    /** Guards against targets that get no requests after their pause. */
    @Test
    void theTargetIsUsedAgainAfterThePause() {
        VirtualFleet fleet = fleet(3);
        fleet.targets().forEach(target -> target.refusals().refuseAll(new HeaderField("retry-after", "2.5")));
        run(fleet, Duration.ofSeconds(1));
        fleet.targets().forEach(target -> target.refusals().stop());
        run(fleet, Duration.ofSeconds(3));
        int settled = fleet.callers().size();
        run(fleet, Duration.ofSeconds(5));
        assertThat(fleet.servedShare(settled, id -> true), greaterThan(0.99));
    }

    private static VirtualFleet fleet(long seed) {
        return new VirtualFleet(seed, 12, 6, Optional.empty(), Optional.of(new ModelId(VirtualOperators.MODEL)));
    }

    private void run(VirtualFleet fleet, Duration duration) {
        fleet.runCompletions(duration, 40, DEADLINE);
    }

    private static long refusals(VirtualTarget target, InstanceId instance) {
        return target.refusals().refused().stream()
                .filter(refusal -> refusal.sender().equals(instance))
                .count();
    }
}
