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
 * Runs the measurements named on the command line, or all, one after the other. Prints Markdown tables and writes the
 * results of each as JSON. Single-threaded.
 */
public final class MeasureProgram {
    /** Kept referenced, as a logger that is not may lose its level. */
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");

    private static final String DEFAULT_SEED = "4600";

    private MeasureProgram() {}

    /** Runs measurements. Options: {@code --seed N}, {@code --json FOLDER}. */
    public static void main(String[] arguments) throws Exception {
        LOGGER.setLevel(Level.OFF);
        Options options = new Options()
                .addOption(null, "seed", true, "seed of the generated work (default 4600)")
                .addOption(null, "json", true, "folder for the results as JSON");
        CommandLine line = new DefaultParser().parse(options, arguments);
        long seed = Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED));
        Path json = Path.of(line.getOptionValue("json", "."));
        Files.createDirectories(json);
        Map<String, Measurement> measurements = measurements(json);
        List<String> names = line.getArgList().isEmpty() || line.getArgList().equals(List.of("all"))
                ? List.copyOf(measurements.keySet())
                : line.getArgList();
        for (String name : names) {
            if (!measurements.containsKey(name)) {
                System.err.println("unknown measurement " + name + "; known: " + measurements.keySet());
                System.exit(2);
            }
        }
        for (String name : names) {
            long begin = System.nanoTime();
            String load = Files.readString(Path.of("/proc/loadavg")).split(" ")[0];
            measurements.get(name).run(seed);
            System.out.printf(
                    "%n(%s took %d s; load average of the machine before: %s)%n%n",
                    name, (System.nanoTime() - begin) / 1_000_000_000L, load);
        }
        System.exit(0);
    }

    private static Map<String, Measurement> measurements(Path json) {
        Map<String, Measurement> all = new LinkedHashMap<>();
        all.put("entry", seed -> write(EntryMeasurement.run(seed), json));
        all.put("control-log", seed -> write(ControlLogMeasurement.run(seed), json));
        all.put("control-change", seed -> write(ControlChangeMeasurement.run(seed), json));
        all.put("control-cost", seed -> write(ControlCostMeasurement.run(seed), json));
        all.put("pulls", seed -> write(PullCostMeasurement.run(seed), json));
        all.put("state-size", seed -> write(StateSizeMeasurement.run(seed), json));
        all.put("membership", seed -> MembershipBytes.main(new String[0]));
        all.put("budget", seed -> BudgetMeasurement.main(arguments(seed, json, "budget")));
        all.put("dispatch", seed -> DispatchMeasurement.main(arguments(seed, json, "dispatch")));
        return all;
    }

    private static String[] arguments(long seed, Path json, String name) {
        return new String[] {
            "--seed",
            Long.toString(seed),
            "--json",
            json.resolve(name + ".json").toString()
        };
    }

    private static void write(Report report, Path json) throws Exception {
        System.out.println(report.markdown());
        new ObjectMapper()
                .enable(SerializationFeature.INDENT_OUTPUT)
                .writeValue(json.resolve(report.getName() + ".json").toFile(), report);
    }

    /** One measurement; prints its results. */
    @FunctionalInterface
    private interface Measurement {
        /** Runs the measurement with a seed. */
        void run(long seed) throws Exception;
    }
}
