package org.basilrill.scaffold.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.basilrill.scaffold.measure.PlacementPolicies.Planned;
import org.basilrill.scaffold.measure.PlacementPolicies.Policy;
import org.basilrill.state.configuration.Rules.StoreLimits;

/**
 * Compares the placement with a static placement and with least recently used, at the sizes of both deployments, while
 * the demand for each model moves tenfold within an hour; then measures the time of a decision at growing sizes. The
 * models run on virtual time; only decisions are timed by the wall clock. Adapters are left out.
 */
public final class PlacementMoves {
    private static final long SEED = 48_000;
    private static final int RUNS = 5;
    private static final int WARM_UP_SECONDS = 600;
    private static final int MEASURED_SECONDS = 3600;
    private static final int[][] DECISION_SIZES = {{188, 75}, {375, 150}, {750, 300}, {1500, 600}};
    private static final int DECISION_WARM_UP = 60;
    private static final int DECISIONS = 240;

    /** Limits at the design scale, which the page leaves open: those of the repair deployment per 13 workers. */
    private static final StoreLimits DESIGN_LIMITS = new StoreLimits(92, 600, 4600);

    private PlacementMoves() {}

    /** Prints the seed, the results as JSON and as tables. */
    public static void main(String[] arguments) throws JsonProcessingException {
        System.out.printf("seed %d, %d runs of %d s each%n%n", SEED, RUNS, MEASURED_SECONDS);
        List<Map<String, Object>> policies = new ArrayList<>();
        compare("repair", 13, 34, new StoreLimits(2, 13, 100), policies);
        compare("buying", 6, 13, new StoreLimits(1, 4, 30), policies);
        List<Map<String, Object>> decisions = new ArrayList<>();
        for (int[] size : DECISION_SIZES) {
            decisions.add(decisions(size[0], size[1]));
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("seed", SEED);
        all.put("policies", policies);
        all.put("decisions", decisions);
        System.out.println(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(all));
        table(policies);
        table(decisions);
    }

    private static void compare(
            String deployment, int workers, int models, StoreLimits limits, List<Map<String, Object>> results) {
        for (String policy : List.of("static", "least recently used", "placement")) {
            double attainment = 0;
            double perAccelerator = 0;
            long moves = 0;
            long waiting = 0;
            int mostWaiting = 0;
            for (int run = 0; run < RUNS; run++) {
                PlacementWorld world = new PlacementWorld(workers, models, limits, SEED + run);
                Policy mover = policy(policy, world);
                for (int second = 0; second < WARM_UP_SECONDS + MEASURED_SECONDS; second++) {
                    if (second == WARM_UP_SECONDS) {
                        world.resetCounts();
                    }
                    int loads = mover.step();
                    world.step();
                    if (second >= WARM_UP_SECONDS) {
                        waiting += loads;
                        mostWaiting = Math.max(mostWaiting, loads);
                    }
                }
                attainment += world.attainment() / RUNS;
                perAccelerator +=
                        world.servedTokens() / MEASURED_SECONDS / workers / PlacementWorld.ACCELERATORS / RUNS;
                moves += world.moves();
            }
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("deployment", deployment);
            row.put("policy", policy);
            row.put("attainment", rounded(attainment, 4));
            row.put("tokens/s per accelerator", rounded(perAccelerator, 1));
            row.put("moves per hour", rounded((double) moves / RUNS, 1));
            row.put("loads waiting for the store, mean", rounded((double) waiting / RUNS / MEASURED_SECONDS, 3));
            row.put("loads waiting, most", mostWaiting);
            results.add(row);
        }
    }

    private static Policy policy(String name, PlacementWorld world) {
        switch (name) {
            case "static":
                return PlacementPolicies.unchanging();
            case "least recently used":
                return PlacementPolicies.leastRecentlyUsed(world);
            default:
                return new Planned(world);
        }
    }

    private static Map<String, Object> decisions(int models, int workers) {
        double share = (double) models / DECISION_SIZES[DECISION_SIZES.length - 1][0];
        StoreLimits limits = new StoreLimits(
                DESIGN_LIMITS.loadsPerSecond() * share, (int) (DESIGN_LIMITS.loadsInFlight() * share), 100);
        PlacementWorld world = new PlacementWorld(workers, models, limits, SEED);
        Planned planned = new Planned(world);
        Histogram histogram = new Histogram(3);
        for (int second = 0; second < DECISION_WARM_UP + DECISIONS; second++) {
            planned.step();
            world.step();
            if (second >= DECISION_WARM_UP) {
                histogram.recordValue(planned.decisionNanos());
            }
        }
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("models", models);
        row.put("workers", workers);
        row.put("decision median, ms", rounded(histogram.getValueAtPercentile(50) / 1e6, 2));
        row.put("decision 99 in 100, ms", rounded(histogram.getValueAtPercentile(99) / 1e6, 2));
        row.put("median per model, us", rounded(histogram.getValueAtPercentile(50) / 1e3 / models, 2));
        return row;
    }

    private static double rounded(double value, int digits) {
        double factor = Math.pow(10, digits);
        return Math.round(value * factor) / factor;
    }

    private static void table(List<Map<String, Object>> rows) {
        System.out.println();
        System.out.println("| " + String.join(" | ", rows.get(0).keySet()) + " |");
        System.out.println("|" + "---|".repeat(rows.get(0).size()));
        rows.forEach(row -> System.out.println("| "
                + String.join(" | ", row.values().stream().map(String::valueOf).toList()) + " |"));
    }
}
