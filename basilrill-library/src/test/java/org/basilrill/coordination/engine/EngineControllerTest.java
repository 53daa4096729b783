package org.basilrill.coordination.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.placement.DemandAggregator;
import org.basilrill.coordination.placement.PlacementMessage.DemandReport;
import org.basilrill.coordination.placement.PlacementMessage.ReportedDemand;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.configuration.Rules;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders of two leaders that interleave, and against more models and adapters than an engine can load.
 */
class EngineControllerTest {
    private static final Duration LEASE = Duration.ofSeconds(3);
    /**
     * The name of each model has as many letters as the model needs units of memory. An engine has ten units, so not
     * all fit.
     */
    private static final List<ModelId> MODELS = List.of(
            new ModelId("five1"), new ModelId("five2"), new ModelId("six333"), new ModelId("four"), new ModelId("tri"));

    private static final int SCENARIOS = 100;

    /** Guards against a new leader whose first orders interleave with the last orders of the previous leader. */
    @Test
    void aNewLeaderSendsNoOrderWithinTheLeaseOfItsPredecessor() {
        Scenario scenario = new Scenario(new Random(1));
        scenario.changeLeader(0);
        scenario.run(Duration.ofSeconds(6));
        int before = scenario.engines.accepted();
        assertThat(before, greaterThan(0));
        scenario.changeLeader(1);
        scenario.run(LEASE.minusMillis(200));
        assertThat(scenario.engines.accepted(), is(before));
        scenario.run(Duration.ofSeconds(3));
        assertThat(scenario.engines.accepted(), greaterThan(before));
        assertThat(scenario.engines.violations(), empty());
    }

    /**
     * Guards against violations of the lease and of the capacity under random leader changes, late orders, lagging
     * reports and engine restarts.
     */
    @Test
    void noScenarioViolatesTheLeaseOrOvercommitsAnEngine() {
        for (int seed = 0; seed < SCENARIOS; seed++) {
            Random random = new Random(seed);
            Scenario scenario = new Scenario(random);
            scenario.engines.loseResponses(random.nextBoolean() ? 0.2 : 0);
            for (int event = 0; event < 12; event++) {
                scenario.applyRandomEvent(random);
                scenario.run(Duration.ofMillis(200 + random.nextInt(2500)));
            }
            assertThat("seed " + seed, scenario.engines.violations(), empty());
            assertThat("seed " + seed, scenario.engines.accepted(), greaterThan(0));
        }
    }

    /** Two controllers, one of which leads, and the engines of one pool. */
    private static final class Scenario {
        private final VirtualTime time = new VirtualTime();
        private final VirtualEngines engines;
        private final List<EngineController> controllers = new ArrayList<>();
        private final List<DemandAggregator> demandAggregators = new ArrayList<>();
        private final Map<ModelId, Long> totals = new HashMap<>();
        private final Random random;
        private int leader;
        private long term = 1;
        private long sequence;

        private Scenario(Random random) {
            this.random = random;
            Rules rules = rules();
            engines = new VirtualEngines(time, random, rules.enginePools().get(EnginePlannerFixture.POOL), LEASE);
            engines.add("one", MODELS.get(0), MODELS.get(3));
            engines.add("two", MODELS.get(2));
            engines.add("three", MODELS.get(1), MODELS.get(4));
            for (int number = 0; number < 2; number++) {
                int ownNumber = number;
                DemandAggregator demandAggregator =
                        DemandAggregator.withWarmUpCorrection(time, Duration.ofSeconds(4), Duration.ofSeconds(10));
                EngineController controller = new EngineController(
                        new EngineController.Environment(
                                () -> leader == ownNumber,
                                () -> term,
                                () -> rules,
                                engines,
                                engines.clientOf("controller-" + ownNumber),
                                (engine, model, present) -> {},
                                (instance, untilReady) -> {},
                                engine -> false,
                                LEASE,
                                time,
                                time),
                        demandAggregator);
                demandAggregators.add(demandAggregator);
                controllers.add(controller);
                controller.start();
            }
        }

        private void changeLeader(int number) {
            leader = number;
            term++;
        }

        private void applyRandomEvent(Random eventRandom) {
            switch (eventRandom.nextInt(4)) {
                case 0 -> changeLeader(1 - leader);
                case 1 ->
                    engines.restart(engines.ids().stream().sorted().toList().get(eventRandom.nextInt(3)));
                default -> reportDemand();
            }
        }

        private void run(Duration duration) {
            Duration remaining = duration;
            while (remaining.compareTo(Duration.ZERO) > 0) {
                reportDemand();
                time.advance(Duration.ofMillis(100));
                remaining = remaining.minusMillis(100);
            }
        }

        private void reportDemand() {
            List<ReportedDemand> reported = new ArrayList<>();
            ModelId base = MODELS.get(random.nextInt(MODELS.size()));
            ModelId adapter = new ModelId(base + "/a" + (1 + random.nextInt(4)));
            for (ModelId model : List.of(base, adapter)) {
                long tokens = totals.merge(model, (long) random.nextInt(4000), Long::sum);
                reported.add(new ReportedDemand(model, tokens, random.nextInt(3)));
            }
            DemandReport report = new DemandReport(1, ++sequence, reported);
            demandAggregators.forEach(demandAggregator -> demandAggregator.received(new InstanceId("caller"), report));
            controllers.forEach(EngineController::requestDecision);
        }
    }

    private static Rules rules() {
        EnginePool pool = new EnginePool(
                EnginePlannerFixture.POOL, 10, 2, 5, EnginePlannerFixture.loadTimes(MODELS, Duration.ofMillis(800)));
        return EnginePlannerFixture.rules(MODELS, model -> model.value().length(), 4, 0, pool);
    }
}
