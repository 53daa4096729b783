package org.basilrill.daemon;

import org.basilrill.daemon.command.CommandRunner;
import org.basilrill.daemon.command.Commands;
import org.basilrill.daemon.command.ExitCode;

/** Entry point of the command line program. */
public final class Main {
    private Main() {}

    /** Runs the program and ends the process with its exit code. */
    public static void main(String[] arguments) {
        ExitCode code = new CommandRunner(Commands.all(System.out), System.out, System.err).run(arguments);
        System.exit(code.number());
    }
}
