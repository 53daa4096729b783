package org.basilrill.scaffold.prove;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs soaks with given, numbered or fresh seeds and prints the result of each. Stateless. */
public final class SoakProgram {
    private static final String SEEDS = "seeds";
    private static final String MINUTES = "minutes";
    private static final String SECONDS = "seconds";
    private static final String INSTANCES = "instances";
    private static final String DEFAULT_SECONDS = "20";
    private static final String DEFAULT_INSTANCES = "5";
    private static final int HIGHEST_SEED = 1_000_000;
    private static final int FAILED = 1;

    private SoakProgram() {}

    /** Runs {@code --seed N}, the seeds from 1 to {@code --seeds N}, or fresh ones for {@code --minutes N}. */
    public static void run(String... arguments) throws ParseException, IOException {
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        CommandLine line = new DefaultParser().parse(options(), arguments);
        Soak soak = new Soak(
                Integer.parseInt(line.getOptionValue(SECONDS, DEFAULT_SECONDS)),
                Integer.parseInt(line.getOptionValue(INSTANCES, DEFAULT_INSTANCES)));
        List<Long> failed = new ArrayList<>();
        int runs = 0;
        long end = System.nanoTime()
                + Duration.ofMinutes(Long.parseLong(line.getOptionValue(MINUTES, "0")))
                        .toNanos();
        long seeds = Long.parseLong(line.getOptionValue(SEEDS, "1"));
        while (line.hasOption(MINUTES) ? System.nanoTime() < end : runs < seeds) {
            runs++;
            long seed = seedOf(line, runs);
            System.out.println("seed " + seed);
            if (!ProveProgram.prove(soak, seed, line, System.out)) {
                failed.add(seed);
            }
        }
        System.out.println(runs + " soaks, " + failed.size() + " failed: seeds " + failed);
        System.exit(failed.isEmpty() ? 0 : FAILED);
    }

    private static long seedOf(CommandLine line, int run) {
        if (line.hasOption(MINUTES)) {
            return ThreadLocalRandom.current().nextInt(1, HIGHEST_SEED);
        }
        return line.hasOption(ProveProgram.SEED) ? Long.parseLong(line.getOptionValue(ProveProgram.SEED)) : run;
    }

    private static Options options() {
        Options options = ProveProgram.options();
        for (String name : List.of(SEEDS, MINUTES, SECONDS, INSTANCES)) {
            options.addOption(Option.builder().longOpt(name).hasArg().build());
        }
        return options;
    }
}
