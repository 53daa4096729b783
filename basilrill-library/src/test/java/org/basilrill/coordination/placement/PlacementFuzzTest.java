package org.basilrill.coordination.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.BeforeContainer;
import net.jqwik.api.statistics.Statistics;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.placement.FuzzController.FuzzControlLog;
import org.basilrill.coordination.placement.PlacementMessage.DemandReport;
import org.basilrill.coordination.placement.PlacementMessage.ReportedDemand;
import org.basilrill.state.control.ControlCommand.ReplaceRules;

/**
 * Guards against overcommitted memory, unreachable models and concurrent orders at targets that ignore fencing while
 * all kinds of faults occur, and against orders that are never resolved after the faults have ended.
 */
class PlacementFuzzTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final Duration STEP = Duration.ofMillis(50);
    private static final int STEPS = 2400;
    private static final int MODELS = 7;
    private static final int ADAPTERS = 3;
    private static final int GIBIBYTE_SHIFT = 30;

    @BeforeContainer
    static void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    @Property(tries = 120, seed = "4801", shrinking = ShrinkingMode.OFF)
    void memoryIsNotOvercommittedAndModelsStayReachableDuringFaults(@ForAll long seed) {
        Run run = new Run(seed, 5);
        run.runSteps();
        assertThat("seed " + seed, run.oracle.violations(), is(empty()));
        Statistics.label("runs with unloads")
                .collect(run.oracle.unloads() > 0)
                .coverage(coverage -> coverage.check(true).percentage(share -> share > 80));
    }

    @Property(tries = 60, seed = "4802", shrinking = ShrinkingMode.OFF)
    void modelsAreServedAndOrdersResolvedAfterFaultsEnd(@ForAll long seed) {
        Run run = new Run(seed, 10);
        run.runSteps();
        run.stopFaults();
        assertThat("seed " + seed, run.oracle.violations(), is(empty()));
        assertThat("seed " + seed, run.missing(), is(empty()));
        assertThat("seed " + seed, run.unresolved(), is(empty()));
    }

    /** One random run. */
    private static final class Run {
        private final Random random;
        private final VirtualTime time = new VirtualTime();
        private final FuzzOracle oracle;
        private final FuzzControlLog log = new FuzzControlLog();
        private final List<FuzzController> controllers = new ArrayList<>();
        private final long[] tokens = new long[MODELS + ADAPTERS];
        private final int[] rates = new int[MODELS + ADAPTERS];
        private final int[] versions = new int[MODELS];
        private final boolean[] unresponsive;
        private int leader;
        private int startedControllers;
        private long revision;
        private long reports;

        Run(long seed, int gibibytes) {
            random = new Random(seed);
            oracle = new FuzzOracle(time, random);
            int targets = 3 + random.nextInt(4);
            unresponsive = new boolean[targets];
            for (int number = 0; number < targets; number++) {
                oracle.targets()
                        .add(new FuzzTarget(
                                "target-" + number,
                                "dc-" + number % 2,
                                ((long) gibibytes + random.nextInt(8)) << GIBIBYTE_SHIFT,
                                random.nextBoolean(),
                                oracle));
            }
            for (int model = 0; model < MODELS; model++) {
                versions[model] = 1;
            }
            replaceRules();
            for (int number = 0; number < 3; number++) {
                controllers.add(controller());
            }
            controllers.get(0).lead(true);
        }

        void runSteps() {
            for (int step = 0; step < STEPS; step++) {
                if (random.nextInt(40) == 0) {
                    injectFault();
                }
                if (random.nextInt(40) == 0) {
                    changeDemand();
                }
                if (step % 10 == 0) {
                    sendAnnouncements();
                    sendDemandReport();
                }
                time.advance(STEP);
                oracle.checkReachability();
            }
        }

        void stopFaults() {
            log.stopFaults();
            for (int number = 0; number < unresponsive.length; number++) {
                unresponsive[number] = false;
                oracle.targets().get(number).setLeaving(false);
            }
            for (int number = 0; number < controllers.size(); number++) {
                controllers.get(number).lead(number == leader);
                controllers.get(number).pause(false);
            }
            for (int step = 0; step < 3600; step++) {
                if (step % 10 == 0) {
                    sendAnnouncements();
                }
                time.advance(STEP);
                oracle.checkReachability();
            }
        }

        /** Returns the models without a copy in the version of the rules. */
        List<ModelId> missing() {
            List<ModelId> missing = new ArrayList<>();
            for (int number = 0; number < MODELS; number++) {
                ModelId model = model(number);
                int version = versions[number];
                if (oracle.targets().stream()
                        .noneMatch(target -> target.serves(model) && target.version(model) == version)) {
                    missing.add(model);
                }
            }
            return missing;
        }

        /** Returns the orders that were open at the end of the run and are still open after another 20 seconds. */
        List<String> unresolved() {
            List<String> before = openOrders();
            for (int step = 0; step < 400; step++) {
                if (step % 10 == 0) {
                    sendAnnouncements();
                }
                time.advance(STEP);
            }
            before.retainAll(openOrders());
            return before;
        }

        private List<String> openOrders() {
            List<String> open = new ArrayList<>();
            log.referenceState()
                    .ledgerRows()
                    .forEach(row -> row.openOrders().forEach(order -> open.add(order.orderId())));
            return open;
        }

        private void injectFault() {
            FuzzTarget target = oracle.targets().get(random.nextInt(unresponsive.length));
            int chosen = random.nextInt(controllers.size());
            switch (random.nextInt(9)) {
                case 0 -> target.restart(random.nextBoolean());
                case 1 -> target.setLeaving(random.nextBoolean());
                case 2 -> unresponsive[random.nextInt(unresponsive.length)] = random.nextBoolean();
                case 3 -> controllers.get(chosen).pause(true);
                case 4 -> controllers.get(chosen).pause(false);
                case 5 -> {
                    // The old leader still acts as leader until it is notified of the new one.
                    leader = chosen;
                    controllers.get(leader).lead(true);
                }
                case 6 -> controllers.forEach(each -> each.lead(each == controllers.get(leader)));
                case 7 -> {
                    controllers.get(chosen).crash();
                    controllers.set(chosen, controller());
                    controllers.get(chosen).lead(chosen == leader);
                }
                default -> {
                    versions[random.nextInt(MODELS)]++;
                    replaceRules();
                }
            }
        }

        private void changeDemand() {
            rates[random.nextInt(rates.length)] = random.nextInt(3) == 0 ? random.nextInt(3000) : 0;
        }

        private FuzzController controller() {
            return new FuzzController("entry-" + startedControllers++, log, oracle);
        }

        private void sendAnnouncements() {
            for (int number = 0; number < unresponsive.length; number++) {
                if (unresponsive[number]) {
                    continue;
                }
                FuzzTarget target = oracle.targets().get(number);
                var announcement = target.announcement();
                for (FuzzController controller : controllers) {
                    Duration age = Duration.ofMillis(random.nextInt(log.faulty() ? 1500 : 50));
                    time.schedule(age, () -> controller.receiveAnnouncement(announcement, age));
                }
            }
        }

        private void sendDemandReport() {
            List<ReportedDemand> demand = new ArrayList<>();
            for (int model = 0; model < MODELS + ADAPTERS; model++) {
                tokens[model] += rates[model] / 2;
                demand.add(new ReportedDemand(model(model), tokens[model], random.nextInt(2)));
            }
            DemandReport report = new DemandReport(1, ++reports, demand);
            controllers.forEach(controller -> controller.demand().received(new InstanceId("caller"), report));
        }

        private void replaceRules() {
            StringBuilder text = new StringBuilder("store loads-per-second 4 in-flight 6 # asked by Ana\n");
            for (int model = 0; model < MODELS; model++) {
                text.append(String.format(
                        "model %s memory %dGiB copies 1..3 version %d # asked by Ana%n",
                        model(model), 1 + model % 4, versions[model]));
            }
            for (int adapter = MODELS; adapter < MODELS + ADAPTERS; adapter++) {
                text.append(String.format("adapter %s memory 512MiB # asked by Luis%n", model(adapter)));
            }
            log.append(new ReplaceRules(revision++, text.toString(), "ana"));
        }

        /** Returns the model with the number; numbers from {@code MODELS} on are adapters. */
        private static ModelId model(int number) {
            return new ModelId(number < MODELS ? "model-" + number : "model-" + (number - MODELS) + "/adapter");
        }
    }
}
