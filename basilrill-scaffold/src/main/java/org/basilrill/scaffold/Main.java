package org.basilrill.scaffold;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.basilrill.scaffold.prove.ProveProgram;
import org.basilrill.scaffold.prove.SoakProgram;
import org.basilrill.scaffold.target.FakeTargetProgram;

/** Entry point of the test programs. */
public final class Main {
    private static final String USAGE = """
            usage: basilrill-scaffold target OPTIONS
                   basilrill-scaffold free-ports COUNT
                   basilrill-scaffold prove [NAME...] [--seed N]
                   basilrill-scaffold soak [--seed N | --seeds N | --minutes N] [--seconds N] [--instances N]""";
    private static final int INVALID_USAGE = 2;

    private Main() {}

    /** Runs the program that the first argument names; exits with 2 and the usage if an argument is invalid. */
    public static void main(String[] arguments) throws IOException {
        String program = arguments.length == 0 ? "" : arguments[0];
        List<String> rest = Arrays.asList(arguments).subList(Math.min(1, arguments.length), arguments.length);
        if (rest.contains("--help")) {
            System.out.println(USAGE);
            return;
        }
        try {
            run(program, rest.toArray(String[]::new));
        } catch (ParseException | NumberFormatException exception) {
            System.err.println(exception.getMessage());
            System.err.println(USAGE);
            System.exit(INVALID_USAGE);
        }
    }

    private static void run(String program, String... arguments) throws IOException, ParseException {
        switch (program) {
            case "target" -> FakeTargetProgram.run(arguments);
            case "free-ports" -> FreePorts.find(Integer.parseInt(arguments[0])).forEach(System.out::println);
            case "prove" -> ProveProgram.run(arguments);
            case "soak" -> SoakProgram.run(arguments);
            default -> throw new ParseException("no program named \"" + program + "\"");
        }
    }
}
