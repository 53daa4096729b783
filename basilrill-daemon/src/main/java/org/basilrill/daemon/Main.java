package org.basilrill.daemon;

import org.basilrill.daemon.command.CommandRunner;
import org.basilrill.daemon.command.Commands;
import org.basilrill.daemon.command.ExitCode;

/** Entry point of the command line program. */
public final class Main {
    private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";
    /** Named by text: a use of the class would initialise the log manager of the platform first. */
    private static final String LOG_MANAGER = "org.basilrill.daemon.DaemonLogManager";

    private Main() {}

    /** Runs the program and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.setProperty(LOG_MANAGER_PROPERTY, LOG_MANAGER);
        ExitCode code = new CommandRunner(Commands.all(System.out), System.out, System.err).run(arguments);
        System.exit(code.number());
    }
}
