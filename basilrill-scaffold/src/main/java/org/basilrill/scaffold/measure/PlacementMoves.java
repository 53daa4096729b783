package org.basilrill.scaffold.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.basilrill.scaffold.measure.PlacementPolicies.PlannerPolicy;
import org.basilrill.scaffold.measure.PlacementPolicies.Policy;
import org.basilrill.state.configuration.Rules.StoreLimits;

/**
 * Compares the placement planner with a static and a least-recently-used placement, at the sizes of both deployments.
 * The demand for each model varies by a factor of ten within an hour. Then measures the time of a planner run at
 * increasing sizes. Models run on virtual time; only planner runs are timed by the wall clock. Adapters are not
 * simulated. Single-threaded.
 */
public final class PlacementMoves {
    private static final long SEED = 48_000;
    private static final int RUNS = 5;
    private static final int WARM_UP_SECONDS = 600;
    private static final int MEASURED_SECONDS = 3600;
    private static final int[][] DECISION_SIZES = {{188, 75}, {375, 150}, {750, 300}, {1500, 600}};
    private static final int DECISION_WARM_UP = 60;
    private static final int DECISIONS = 240;

    /** The design scale sets no store limits; these scale those of the repair deployment from 13 to 600 workers. */
    private static final StoreLimits DESIGN_LIMITS = new StoreLimits(92, 600, 4600);

    private PlacementMoves() {}

    /** Runs all simulations; prints the seed, and the results as JSON and as tables. */
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
        printTable(policies);
        printTable(decisions);
    }

    private static void compare(
            String deployment, int workers, int models, StoreLimits limits, List<Map<String, Object>> results) {
        for (String policyName : List.of("static", "least recently used", "placement")) {
            double attainment = 0;
            double tokensPerAccelerator = 0;
            long moves = 0;
            long waiting = 0;
            int maximumWaiting = 0;
            for (int run = 0; run < RUNS; run++) {
                PlacementSimulation simulation = new PlacementSimulation(workers, models, limits, SEED + run);
                Policy comparedPolicy = policy(policyName, simulation);
                for (int second = 0; second < WARM_UP_SECONDS + MEASURED_SECONDS; second++) {
                    if (second == WARM_UP_SECONDS) {
                        simulation.resetCounters();
                    }
                    int throttledLoads = comparedPolicy.step();
                    simulation.step();
                    if (second >= WARM_UP_SECONDS) {
                        waiting += throttledLoads;
                        maximumWaiting = Math.max(maximumWaiting, throttledLoads);
                    }
                }
                attainment += simulation.attainment() / RUNS;
                tokensPerAccelerator += simulation.servedTokens()
                        / MEASURED_SECONDS
                        / workers
                        / PlacementSimulation.ACCELERATORS
                        / RUNS;
                moves += simulation.moves();
            }
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("deployment", deployment);
            row.put("policy", policyName);
            row.put("attainment", rounded(attainment, 4));
            row.put("tokens/s per accelerator", rounded(tokensPerAccelerator, 1));
            row.put("moves per hour", rounded((double) moves / RUNS, 1));
            row.put("loads waiting for the store, mean", rounded((double) waiting / RUNS / MEASURED_SECONDS, 3));
            row.put("loads waiting, most", maximumWaiting);
            results.add(row);
        }
    }

    private static Policy policy(String name, PlacementSimulation simulation) {
        switch (name) {
            case "static":
                return PlacementPolicies.staticPlacement();
            case "least recently used":
                return PlacementPolicies.leastRecentlyUsed(simulation);
            default:
                return new PlannerPolicy(simulation);
        }
    }

    private static Map<String, Object> decisions(int models, int workers) {
        double share = (double) models / DECISION_SIZES[DECISION_SIZES.length - 1][0];
        StoreLimits limits = new StoreLimits(
                DESIGN_LIMITS.loadsPerSecond() * share, (int) (DESIGN_LIMITS.loadsInFlight() * share), 100);
        PlacementSimulation simulation = new PlacementSimulation(workers, models, limits, SEED);
        PlannerPolicy plannerPolicy = new PlannerPolicy(simulation);
        Histogram histogram = new Histogram(3);
        for (int second = 0; second < DECISION_WARM_UP + DECISIONS; second++) {
            plannerPolicy.step();
            simulation.step();
            if (second >= DECISION_WARM_UP) {
                histogram.recordValue(plannerPolicy.decisionNanos());
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

    private static void printTable(List<Map<String, Object>> rows) {
        System.out.println();
        System.out.println("| " + String.join(" | ", rows.get(0).keySet()) + " |");
        System.out.println("|" + "---|".repeat(rows.get(0).size()));
        rows.forEach(row -> System.out.println("| "
                + String.join(" | ", row.values().stream().map(String::valueOf).toList()) + " |"));
    }
}
