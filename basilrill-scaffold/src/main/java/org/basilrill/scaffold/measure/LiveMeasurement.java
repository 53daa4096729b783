package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntFunction;
import org.basilrill.coordination.routing.RoutingOptions;
import org.basilrill.scaffold.measure.BatchEngine.Setup;
import org.basilrill.scaffold.measure.DispatchSimulation.Fleet;
import org.basilrill.scaffold.measure.DispatchSimulation.Scheme;
import org.basilrill.scaffold.measure.SchemeResult.AccountResult;

/**
 * Compares the choice of engines by slots and by learned response times, on virtual time: engines that are slow at
 * times, that differ in speed, long prompts beside streams, little memory, batch work beside live work, and bursts.
 */
final class LiveMeasurement {
    static final Duration DURATION = Duration.ofSeconds(20);

    private static final double SLOW_PHASE_MILLIS = 600;
    private static final double SLOW_PERIOD_MILLIS = 4_000;
    private static final double SLOWDOWN = 2.5;
    private static final int DATA_CENTRES = 3;

    private LiveMeasurement() {}

    /** Runs each case, or those whose names contain the second argument, with both choices and prints a table. */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 7300;
        String part = arguments.length > 1 ? arguments[1] : "";
        System.out.println("| case | choice | traffic | late | refused | median | 95 % | busiest engine | preempted |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        for (Case one : cases()) {
            if (!one.name().contains(part)) {
                continue;
            }
            for (boolean predictive : new boolean[] {false, true}) {
                print(one, predictive, one.run(predictive, seed));
            }
        }
    }

    static List<Case> cases() {
        List<Case> cases = new ArrayList<>();
        for (int instances : new int[] {1, 31, 77, 300}) {
            cases.add(new Case(
                    instances + " instances, 98 engines", instances, 98, usual(), List.of(LiveTraffic.live(500))));
        }
        cases.add(new Case("98 engines, each slow at times", 31, 98, slowAtTimes(1), List.of(LiveTraffic.live(500))));
        cases.add(new Case("one of two slow at times", 31, 42, slowAtTimes(2), List.of(LiveTraffic.live(215))));
        cases.add(new Case("one of ten twice as fast", 31, 42, oneInTenFast(), List.of(LiveTraffic.live(215))));
        cases.add(new Case(
                "long prompts beside streams",
                31,
                42,
                usual(),
                List.of(LiveTraffic.live(150).withPrompt(0, 826), longPrompts(20))));
        cases.add(new Case(
                "little memory",
                12,
                12,
                number -> new Setup(64, 1, 120_000, millis -> 1),
                List.of(LiveTraffic.live(60).withPrompt(9_000, 190))));
        cases.add(
                new Case("batch beside live", 31, 42, usual(), List.of(LiveTraffic.live(170), LiveTraffic.batch(90))));
        cases.add(new Case(
                "four times the room for 5 s",
                31,
                42,
                usual(),
                List.of(LiveTraffic.live(200).withBurst(6, 11, 10))));
        return cases;
    }

    private static LiveTraffic longPrompts(double perSecond) {
        LiveTraffic live = LiveTraffic.live(perSecond);
        return new LiveTraffic("long", live.urgency(), perSecond, 0, 9_190, 60, live.burst());
    }

    private static IntFunction<Setup> usual() {
        return number -> Setup.usual();
    }

    static IntFunction<Setup> slowAtTimes(int oneIn) {
        return number -> number % oneIn != 0
                ? Setup.usual()
                : new Setup(32, 1, 200_000, slowPhases(number * 0.618 % 1 * SLOW_PERIOD_MILLIS));
    }

    private static DoubleUnaryOperator slowPhases(double shiftMillis) {
        return millis -> (millis + shiftMillis) % SLOW_PERIOD_MILLIS < SLOW_PHASE_MILLIS ? SLOWDOWN : 1;
    }

    private static IntFunction<Setup> oneInTenFast() {
        return number -> number % 10 == 0 ? new Setup(32, 0.5, 200_000, millis -> 1) : Setup.usual();
    }

    private static void print(Case one, boolean predictive, Outcome outcome) {
        for (AccountResult account : outcome.result().accounts()) {
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %s | %s | %.1f %% | %.1f %% | %.0f ms | %.0f ms | %.2f | %d |%n",
                    one.name(),
                    predictive ? "forecast" : "slots",
                    account.account(),
                    100 * (1 - account.attainment()),
                    100.0 * account.refused() / account.sent(),
                    account.medianDelayMillis(),
                    account.delay95Millis(),
                    outcome.busiest(),
                    outcome.preemptions());
        }
    }

    /** A number of instances that share engines, and the requests to them. */
    record Case(String name, int instances, int engines, IntFunction<Setup> setups, List<LiveTraffic> traffic) {
        Outcome run(boolean predictive, long seed) {
            List<BatchEngine> created = new ArrayList<>();
            Fleet fleet = new Fleet(instances, time -> {
                for (int number = 0; number < engines; number++) {
                    String dataCentre = "dc-" + number % DATA_CENTRES;
                    created.add(new BatchEngine(time, "engine-" + number, dataCentre, setups.apply(number)));
                }
                return List.copyOf(created);
            });
            Workload workload = LiveTraffic.generate(seed, DURATION, traffic.toArray(LiveTraffic[]::new));
            RoutingOptions options = RoutingOptions.defaults().withPrediction(predictive);
            SchemeResult result = new DispatchSimulation(fleet, workload, Scheme.fair(), options, seed).run(name);
            double total =
                    created.stream().mapToLong(BatchEngine::offeredRequests).sum();
            double busiest = created.stream()
                    .mapToLong(BatchEngine::offeredRequests)
                    .max()
                    .orElseThrow();
            int preemptions =
                    created.stream().mapToInt(BatchEngine::preemptions).sum();
            return new Outcome(result, busiest * engines / total, preemptions);
        }
    }

    /**
     * The result of a case.
     *
     * @param busiest requests at the busiest engine as a multiple of the mean
     */
    record Outcome(SchemeResult result, double busiest, int preemptions) {
        double late(String account) {
            return result.accounts().stream()
                    .filter(one -> one.account().equals(account))
                    .mapToDouble(one -> 1 - one.attainment())
                    .sum();
        }
    }
}
