package org.basilrill.daemon.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * One subcommand of the program. Immutable.
 *
 * @param name one or two words
 * @param arguments names of the positional arguments, for the usage line
 * @param summary what it does, in one line
 * @param action runs it; failures are thrown
 */
public record Command(String name, String arguments, String summary, Options options, Action action) {
    /** Runs a subcommand. */
    @FunctionalInterface
    public interface Action {
        /** Returns the exit code; throws {@link org.basilrill.api.BasilrillException} on failure. */
        ExitCode run(CommandLine arguments);
    }

    /** Returns the usage line. */
    public String usage() {
        return "basilrill " + name + (options.getOptions().isEmpty() ? "" : " [options]")
                + (arguments.isEmpty() ? "" : " " + arguments);
    }
}
