package org.basilrill.scaffold.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/**
 * Runs the measurements named on the command line, or all of them, sequentially. Prints Markdown tables and writes the
 * results of each measurement as JSON. Single-threaded.
 */
public final class MeasureProgram {
    /** Strong reference: a logger without one can be garbage collected, and its level is then lost. */
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");

    private static final String DEFAULT_SEED = "4600";

    private MeasureProgram() {}

    /** Runs the measurements given as arguments. Options: {@code --seed N}, {@code --json FOLDER}. */
    public static void main(String[] arguments) throws Exception {
        LOGGER.setLevel(Level.OFF);
        Options options = new Options()
                .addOption(null, "seed", true, "seed of the generated workload (default 4600)")
                .addOption(null, "json", true, "folder for the JSON results");
        CommandLine commandLine = new DefaultParser().parse(options, arguments);
        long seed = Long.parseLong(commandLine.getOptionValue("seed", DEFAULT_SEED));
        Path jsonFolder = Path.of(commandLine.getOptionValue("json", "."));
        Files.createDirectories(jsonFolder);
        Map<String, Measurement> measurements = measurements(jsonFolder);
        List<String> names =
                commandLine.getArgList().isEmpty() || commandLine.getArgList().equals(List.of("all"))
                        ? List.copyOf(measurements.keySet())
                        : commandLine.getArgList();
        for (String name : names) {
            if (!measurements.containsKey(name)) {
                System.err.println("unknown measurement " + name + "; known: " + measurements.keySet());
                System.exit(2);
            }
        }
        for (String name : names) {
            long begin = System.nanoTime();
            String loadAverage = Files.readString(Path.of("/proc/loadavg")).split(" ")[0];
            measurements.get(name).run(seed);
            System.out.printf(
                    "%n(%s took %d s; load average of the machine before: %s)%n%n",
                    name, (System.nanoTime() - begin) / 1_000_000_000L, loadAverage);
        }
        System.exit(0);
    }

    private static Map<String, Measurement> measurements(Path jsonFolder) {
        Map<String, Measurement> all = new LinkedHashMap<>();
        all.put("entry", seed -> write(EntryMeasurement.run(seed), jsonFolder));
        all.put("control-log", seed -> write(ControlLogMeasurement.run(seed), jsonFolder));
        all.put("control-change", seed -> write(ControlChangeMeasurement.run(seed), jsonFolder));
        all.put("control-cost", seed -> write(ControlCostMeasurement.run(seed), jsonFolder));
        all.put("pulls", seed -> write(PullCostMeasurement.run(seed), jsonFolder));
        all.put("state-size", seed -> write(StateSizeMeasurement.run(seed), jsonFolder));
        all.put("membership", seed -> MembershipBytes.main(new String[0]));
        all.put("budget", seed -> BudgetMeasurement.main(arguments(seed, jsonFolder, "budget")));
        all.put("dispatch", seed -> DispatchMeasurement.main(arguments(seed, jsonFolder, "dispatch")));
        return all;
    }

    private static String[] arguments(long seed, Path jsonFolder, String name) {
        return new String[] {
            "--seed",
            Long.toString(seed),
            "--json",
            jsonFolder.resolve(name + ".json").toString()
        };
    }

    private static void write(Report report, Path jsonFolder) throws Exception {
        System.out.println(report.markdown());
        new ObjectMapper()
                .enable(SerializationFeature.INDENT_OUTPUT)
                .writeValue(jsonFolder.resolve(report.getName() + ".json").toFile(), report);
    }

    /** A measurement that prints its results. */
    @FunctionalInterface
    private interface Measurement {
        /** Runs the measurement with a seed for its random numbers. */
        void run(long seed) throws Exception;
    }
}
