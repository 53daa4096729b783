package org.basilrill.scaffold.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.basilrill.coordination.routing.RoutingOptions;
import org.basilrill.scaffold.measure.DecisionTime.Sample;
import org.basilrill.scaffold.measure.DispatchSimulation.Scheme;
import org.basilrill.scaffold.measure.SchemeResult.Worst;

/**
 * Compares fair dispatch with first come, first served and with round robin on virtual time, and measures the
 * wall-clock time of one dispatch. Prints Markdown tables and, with {@code --json FILE}, writes the results as JSON.
 */
public final class DispatchMeasurement {
    private DispatchMeasurement() {}

    /** Runs all schemes on the same workloads, then measures the dispatch times. */
    public static void main(String[] arguments) throws IOException, ParseException {
        Options options = new Options()
                .addOption(null, "seed", true, "seed of the first workload (default 4600)")
                .addOption(null, "runs", true, "number of workloads, with consecutive seeds (default 5)")
                .addOption(null, "json", true, "file for the results");
        CommandLine commandLine = new DefaultParser().parse(options, arguments);
        long seed = Long.parseLong(commandLine.getOptionValue("seed", "4600"));
        int runs = Integer.parseInt(commandLine.getOptionValue("runs", "5"));
        Map<String, List<SchemeResult>> results = simulate(seed, runs);
        List<Sample> decisionTimes = DecisionTime.measureAll(seed);
        System.out.printf("seeds %d to %d%n%n", seed, seed + runs - 1);
        printSchemes(results);
        printDecisionTimes(decisionTimes);
        if (commandLine.hasOption("json")) {
            ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
            DispatchReport report = new DispatchReport(seed, runs, results, decisionTimes);
            Files.writeString(Path.of(commandLine.getOptionValue("json")), mapper.writeValueAsString(report));
        }
    }

    private static Map<String, List<SchemeResult>> simulate(long seed, int runs) {
        RoutingOptions defaults = RoutingOptions.defaults();
        Map<String, Variant> schemes = new LinkedHashMap<>();
        schemes.put("fair queueing, two choices", new Variant(Scheme.fair(), defaults));
        schemes.put(
                "the same without room for other instances", new Variant(Scheme.fair(), withAllFreeSlots(defaults)));
        schemes.put("first come first served, two choices", new Variant(Scheme.firstComeFirstServed(), defaults));
        schemes.put("round robin", new Variant(Scheme.roundRobin(), defaults));
        Map<String, List<SchemeResult>> results = new LinkedHashMap<>();
        for (int run = 0; run < runs; run++) {
            Workload workload = Workload.generate(seed + run);
            for (Map.Entry<String, Variant> scheme : schemes.entrySet()) {
                Variant variant = scheme.getValue();
                DispatchSimulation simulation =
                        new DispatchSimulation(workload, variant.scheme(), variant.options(), seed + run);
                results.computeIfAbsent(scheme.getKey(), name -> new ArrayList<>())
                        .add(simulation.run(scheme.getKey()));
            }
        }
        return results;
    }

    /** Returns options that let each instance use all free slots, as if it were the only instance. */
    private static RoutingOptions withAllFreeSlots(RoutingOptions options) {
        return new RoutingOptions(
                options.subsetSize(),
                options.remoteShare(),
                options.distancePenalty(),
                options.reportHalfLife(),
                options.failuresToEject(),
                options.firstEjection(),
                options.longestEjection(),
                options.fullBackOff(),
                DispatchSimulation.INSTANCES,
                options.prefillTokensPerMilli(),
                options.millisPerQueuedRequest(),
                options.fullTargetDelayMillis(),
                options.maxJitterMillis(),
                options.preferredCachedFraction(),
                options.prediction());
    }

    private static void printSchemes(Map<String, List<SchemeResult>> results) {
        System.out.println("| scheme | accounts | attainment, all requests | attainment, worst account"
                + " | served part, worst | mean delay, worst | 95 % delay, worst | refused | full answers |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        results.forEach((scheme, runs) -> {
            printRow(scheme, "all", runs, SchemeResult::worstAll);
            printRow(scheme, "steady", runs, SchemeResult::worstSteady);
        });
        System.out.println();
    }

    private static void printRow(
            String scheme, String accounts, List<SchemeResult> runs, Function<SchemeResult, Worst> worst) {
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %s | %s | %s | %s ms | %s ms | %s | %s |%n",
                scheme,
                accounts,
                meanAndRange(runs, SchemeResult::attainment, "%.3f"),
                meanAndRange(runs, run -> worst.apply(run).attainment(), "%.3f"),
                meanAndRange(runs, run -> worst.apply(run).servedPart(), "%.3f"),
                meanAndRange(runs, run -> worst.apply(run).meanDelayMillis(), "%.0f"),
                meanAndRange(runs, run -> worst.apply(run).delay95Millis(), "%.0f"),
                meanAndRange(runs, SchemeResult::refused, "%.0f"),
                meanAndRange(runs, SchemeResult::fullAnswers, "%.0f"));
    }

    private static String meanAndRange(List<SchemeResult> runs, ToDoubleFunction<SchemeResult> value, String format) {
        double mean = runs.stream().mapToDouble(value).average().orElseThrow();
        double lowest = runs.stream().mapToDouble(value).min().orElseThrow();
        double highest = runs.stream().mapToDouble(value).max().orElseThrow();
        return String.format(Locale.ROOT, format + " (" + format + " to " + format + ")", mean, lowest, highest);
    }

    private static void printDecisionTimes(List<Sample> samples) {
        System.out.println("| targets | models | waiting | median | 99 % | announcement, median |");
        System.out.println("|---|---|---|---|---|---|");
        for (Sample sample : samples) {
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %d | %d | %.1f µs | %.1f µs | %.1f µs |%n",
                    sample.targets(),
                    sample.models(),
                    sample.waiting(),
                    sample.medianMicros(),
                    sample.percentile99Micros(),
                    sample.announcementMicros());
        }
    }

    /** A scheme with its routing options. */
    private record Variant(Scheme scheme, RoutingOptions options) {}

    /** All results of one run of the program; written as JSON. */
    private record DispatchReport(
            long seed, int runs, Map<String, List<SchemeResult>> schemes, List<Sample> decisionTimes) {}
}
