package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.protocol.caller.HeaderField;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards targets that state in their responses that they are leaving, while they announce that they are ready. */
class LeavingTargetTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final HeaderField LEAVING = new HeaderField("x-target-leaving", "true");
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    /** Time after a statement from which no request may reach the target. */
    private static final Duration DRAIN = Duration.ofSeconds(2);

    @BeforeEach
    void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    /** Guards against requests that follow a response which stated that the target is leaving. */
    @Test
    void anInstanceSendsNothingToATargetThatStatedThatItIsLeaving() {
        VirtualFleet fleet = fleet(1);
        VirtualTarget leaving = fleet.target(0);
        leaving.stateInResponses(LEAVING);
        run(fleet, Duration.ofSeconds(20));
        Map<InstanceId, Long> firstRequests = new HashMap<>();
        List<TargetExecution> late = leaving.executions().stream()
                .filter(execution -> execution.nanos()
                        > firstRequests.computeIfAbsent(execution.sender(), sender -> execution.nanos())
                                + DRAIN.toNanos())
                .toList();
        assertThat(late, is(empty()));
        assertThat(fleet.servedShare(0, id -> true), greaterThan(0.99));
    }

    /** Guards against a statement that outlives the incarnation of the target that made it. */
    @Test
    void aTargetThatWasStartedAgainIsUsed() {
        VirtualFleet fleet = fleet(2);
        VirtualTarget leaving = fleet.target(0);
        leaving.stateInResponses(LEAVING);
        run(fleet, Duration.ofSeconds(10));
        leaving.crash();
        leaving.restart();
        leaving.stateInResponses();
        int before = leaving.executions().size();
        run(fleet, Duration.ofSeconds(10));
        assertThat(leaving.executions().size() - before, greaterThan(20));
    }

    /** Guards against callers that wait for a target none of which accepts requests. */
    @Test
    void requestsAreRefusedAtOnceWhenAllTargetsAreLeaving() {
        VirtualFleet fleet = fleet(3);
        fleet.targets().forEach(target -> target.stateInResponses(LEAVING));
        run(fleet, Duration.ofSeconds(10));
        int settled = fleet.callers().size();
        run(fleet, Duration.ofSeconds(2));
        List<VirtualCaller> callers =
                fleet.callers().subList(settled, fleet.callers().size());
        assertThat(fleet.allRefusedAtOnce(settled), is(true));
    }

    private static VirtualFleet fleet(long seed) {
        return new VirtualFleet(seed, 12, 6, Optional.empty(), Optional.of(new ModelId(VirtualOperators.MODEL)));
    }

    private void run(VirtualFleet fleet, Duration duration) {
        fleet.runCompletions(duration, 40, DEADLINE);
    }
}
