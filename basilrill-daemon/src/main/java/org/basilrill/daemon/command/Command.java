package org.basilrill.daemon.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A subcommand of the command line program. Immutable.
 *
 * @param name one or two words
 * @param arguments names of the positional arguments, for the usage line
 * @param summary one-line description for the help text
 * @param action runs the subcommand; throws on failure
 */
public record Command(String name, String arguments, String summary, Options options, Action action) {
    /** The action of a subcommand. */
    @FunctionalInterface
    public interface Action {
        /** Runs the subcommand and returns its exit code. Throws {@link org.basilrill.api.BasilrillException}. */
        ExitCode run(CommandLine arguments);
    }

    /** Returns the usage line. */
    public String usage() {
        return "basilrill " + name + (options.getOptions().isEmpty() ? "" : " [options]")
                + (arguments.isEmpty() ? "" : " " + arguments);
    }
}
