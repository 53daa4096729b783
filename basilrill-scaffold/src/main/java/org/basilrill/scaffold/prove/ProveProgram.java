package org.basilrill.scaffold.prove;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs failure scenarios and prints the result of each. Stateless. */
public final class ProveProgram {
    /** Option with the seed of the random choices. */
    static final String SEED = "seed";

    /** A scenario that takes longer fails, as its processes no longer make progress. */
    private static final Duration SCENARIO_LIMIT = Duration.ofSeconds(240);

    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final String DAEMON_JAR = "daemon-jar";
    private static final String SCAFFOLD_JAR = "scaffold-jar";
    private static final List<Scenario> SCENARIOS = List.of(
            new RollingRestart(),
            new KilledDuringOrders(),
            new RacingOperators(),
            new LostDataFolder(),
            new IsolatedInstance(),
            new RevokedKey(),
            new CrashingRequest(),
            new SilentConnections(),
            new SharedRate());

    private ProveProgram() {}

    /** Runs the named scenarios, or all if none is named; exits with 0 only if all of them succeed. */
    public static void run(String... arguments) throws ParseException, IOException {
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        CommandLine line = new DefaultParser().parse(options(), arguments);
        long seed = Long.parseLong(line.getOptionValue(
                SEED, Integer.toString(ThreadLocalRandom.current().nextInt(1, 1_000_000))));
        List<String> names = line.getArgList();
        List<String> known = SCENARIOS.stream().map(Scenario::name).toList();
        if (!known.containsAll(names)) {
            System.err.println("usage: prove [NAME...] [--seed N], where NAME is one of " + String.join(", ", known));
            System.exit(USAGE);
        }
        System.out.println("seed " + seed);
        boolean allProved = true;
        for (Scenario scenario : SCENARIOS) {
            if (names.isEmpty() || names.contains(scenario.name())) {
                allProved &= prove(scenario, seed, line, System.out);
            }
        }
        System.exit(allProved ? 0 : FAILED);
    }

    /** Runs one scenario with its own folder and processes, and prints its result; returns whether it succeeded. */
    static boolean prove(Scenario scenario, long seed, CommandLine line, PrintStream output) throws IOException {
        Path folder = Files.createTempDirectory("basilrill-prove-");
        ProcessGroup processes = new ProcessGroup(folder);
        Thread cleaner = new Thread(processes::close, "process-cleaner");
        Runtime.getRuntime().addShutdownHook(cleaner);
        ScenarioEnvironment environment = new ScenarioEnvironment(
                folder,
                processes,
                Path.of(line.getOptionValue(DAEMON_JAR)),
                Path.of(line.getOptionValue(SCAFFOLD_JAR)));
        boolean proved = false;
        try {
            String summary = runWithin(
                    scenario,
                    environment,
                    new Random(seed * 31 + scenario.name().hashCode()));
            output.println("proved " + scenario.name() + ": " + summary);
            proved = true;
        } catch (ScenarioFailure failure) {
            output.println("failed " + scenario.name() + ": " + failure.getMessage() + " (logs in " + folder + ")");
        } catch (TimeoutException exception) {
            output.println("failed " + scenario.name() + ": expected an end within " + SCENARIO_LIMIT.toSeconds()
                    + " s, saw none (logs in " + folder + ")");
        } finally {
            processes.close();
            Runtime.getRuntime().removeShutdownHook(cleaner);
        }
        if (proved) {
            delete(folder);
        }
        return proved;
    }

    private static String runWithin(Scenario scenario, ScenarioEnvironment environment, Random random)
            throws TimeoutException {
        FutureTask<String> task = new FutureTask<>(() -> scenario.run(environment, random));
        Thread thread = new Thread(task, scenario.name());
        thread.setDaemon(true);
        thread.start();
        try {
            return task.get(SCENARIO_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException exception) {
            if (exception.getCause() instanceof ScenarioFailure failure) {
                throw failure;
            }
            throw new ScenarioFailure(
                    "a run without unexpected exceptions", exception.getCause().toString());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new ScenarioFailure("a run to the end", "an interruption");
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Returns the options that name the programs and the seed. */
    static Options options() {
        Options options = new Options();
        options.addOption(Option.builder().longOpt(SEED).hasArg().build());
        options.addOption(
                Option.builder().longOpt(DAEMON_JAR).hasArg().required().build());
        options.addOption(
                Option.builder().longOpt(SCAFFOLD_JAR).hasArg().required().build());
        return options;
    }
}
