package org.basilrill.scaffold;

import java.io.IOException;
import java.util.Arrays;
import org.apache.commons.cli.ParseException;
import org.basilrill.scaffold.prove.ProveProgram;
import org.basilrill.scaffold.prove.SoakProgram;
import org.basilrill.scaffold.target.FakeTargetProgram;

/** Entry point of the test programs. */
public final class Main {
    private Main() {}

    /** Runs the program that the first argument names. */
    public static void main(String[] arguments) throws IOException, ParseException {
        String program = arguments.length == 0 ? "" : arguments[0];
        String[] rest = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        switch (program) {
            case "target" -> FakeTargetProgram.run(rest);
            case "free-ports" -> FreePorts.find(Integer.parseInt(rest[0])).forEach(System.out::println);
            case "prove" -> ProveProgram.run(rest);
            case "soak" -> SoakProgram.run(rest);
            default -> {
                System.err.println(
                        "usage: basilrill-scaffold target OPTIONS | free-ports COUNT | prove [NAME] [--seed N] | soak");
                System.exit(2);
            }
        }
    }
}
