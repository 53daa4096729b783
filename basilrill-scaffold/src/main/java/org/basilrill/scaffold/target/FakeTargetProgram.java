package org.basilrill.scaffold.target;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.basilrill.api.ModelId;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/** Parses the command line of a fake target and starts it. Stateless. */
public final class FakeTargetProgram {
    private static final String HOST = "127.0.0.1";
    private static final long MODEL_BYTES = 1L << 30;
    private static final long DEFAULT_MEMORY_BYTES = 16L << 30;
    private static final int DEFAULT_SLOTS = 32;
    private static final int DEFAULT_TOKEN_MILLIS = 5;
    private static final int DEFAULT_LOAD_MILLIS = 200;

    private FakeTargetProgram() {}

    /** Starts a fake target with the given options; it runs until the process ends. */
    public static void run(String... arguments) throws ParseException {
        CommandLine line = new DefaultParser().parse(options(), arguments);
        Map<ModelId, LoadedModel> contents = new HashMap<>();
        for (String model : line.getOptionValue("models", "").split(",")) {
            if (!model.isEmpty()) {
                contents.put(new ModelId(model), new LoadedModel(1, MODEL_BYTES, true));
            }
        }
        FakeTargetSettings settings = new FakeTargetSettings(
                line.getOptionValue("name"),
                HOST,
                Integer.parseInt(line.getOptionValue("port")),
                Integer.parseInt(line.getOptionValue("announced-port", line.getOptionValue("port"))),
                line.getOptionValue("data-centre", "dc-1"),
                Optional.ofNullable(line.getOptionValue("service")),
                List.of(line.getOptionValue("instances").split(",")),
                Long.parseLong(line.getOptionValue("memory", Long.toString(DEFAULT_MEMORY_BYTES))),
                contents,
                intOption(line, "slots", DEFAULT_SLOTS),
                !line.hasOption("ignores-fencing"),
                Duration.ofMillis(intOption(line, "token-millis", DEFAULT_TOKEN_MILLIS)),
                Duration.ofMillis(intOption(line, "load-millis", DEFAULT_LOAD_MILLIS)));
        try {
            FakeTarget.start(settings);
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot listen on port " + settings.port(), exception);
        }
    }

    private static int intOption(CommandLine line, String option, int defaultValue) {
        return Integer.parseInt(line.getOptionValue(option, Integer.toString(defaultValue)));
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(required("name"));
        options.addOption(required("port"));
        options.addOption(required("instances"));
        for (String name : List.of(
                "announced-port",
                "data-centre",
                "service",
                "memory",
                "models",
                "slots",
                "token-millis",
                "load-millis")) {
            options.addOption(Option.builder().longOpt(name).hasArg().build());
        }
        options.addOption(Option.builder().longOpt("ignores-fencing").build());
        return options;
    }

    private static Option required(String name) {
        return Option.builder().longOpt(name).hasArg().required().build();
    }
}
