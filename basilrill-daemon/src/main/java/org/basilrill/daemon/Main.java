package org.basilrill.daemon;

import org.basilrill.daemon.command.CommandRunner;
import org.basilrill.daemon.command.Commands;
import org.basilrill.daemon.command.ExitCode;
import org.basilrill.transport.threads.FatalErrorHandler;

/** Entry point of the command line program. */
public final class Main {
    /** Puts time, level and message of a record on one line, then its stack trace if any; Java's default takes two. */
    static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL%1$tz %4$s %5$s%6$s%n";

    private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";
    /** A string, because a reference to the class would initialise the default log manager of Java first. */
    private static final String LOG_MANAGER = "org.basilrill.daemon.DaemonLogManager";

    private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

    private Main() {}

    /** Runs the program and exits with its exit code. */
    public static void main(String[] arguments) {
        System.setProperty(LOG_MANAGER_PROPERTY, LOG_MANAGER);
        if (System.getProperty(LOG_FORMAT_PROPERTY) == null) {
            System.setProperty(LOG_FORMAT_PROPERTY, LOG_FORMAT);
        }
        FatalErrorHandler.install();
        ExitCode code = new CommandRunner(Commands.all(System.out), System.out, System.err).run(arguments);
        System.exit(code.number());
    }
}
