package org.basilrill.daemon.command;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.daemon.settings.SettingsException;

/** Runs the subcommand that the command line arguments select. Not thread safe. */
public final class CommandRunner {
    private static final String VERSION = "basilrill 0.1.0";

    private final List<Command> commands;
    private final PrintStream output;
    private final PrintStream errors;

    public CommandRunner(List<Command> commands, PrintStream output, PrintStream errors) {
        this.commands = List.copyOf(commands);
        this.output = output;
        this.errors = errors;
    }

    /** Runs the program. Failures are reported on the error stream, with one line for each fault. */
    public ExitCode run(String... arguments) {
        if (arguments.length == 0 || arguments[0].equals("help") || arguments[0].equals("--help")) {
            printHelp();
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.SUCCESS;
        }
        if (arguments[0].equals("--version")) {
            output.println(VERSION);
            return ExitCode.SUCCESS;
        }
        Optional<Command> command = find(arguments);
        if (command.isEmpty()) {
            errors.println("basilrill: unknown command \"" + arguments[0] + "\"; see basilrill --help");
            return ExitCode.USAGE;
        }
        return run(command.get(), arguments);
    }

    private ExitCode run(Command command, String... arguments) {
        int words = command.name().split(" ").length;
        String[] rest = Arrays.copyOfRange(arguments, words, arguments.length);
        if (Arrays.asList(rest).contains("--help")) {
            printHelp(command);
            return ExitCode.SUCCESS;
        }
        try {
            CommandLine parsed = new DefaultParser().parse(command.options(), rest);
            return command.action().run(parsed);
        } catch (ParseException | UsageException exception) {
            errors.println("basilrill " + command.name() + ": " + exception.getMessage());
            errors.println("usage: " + command.usage());
            return ExitCode.USAGE;
        } catch (SettingsException | RulesFaultsException exception) {
            errors.println(exception.getMessage());
            return ExitCode.FAILURE;
        } catch (BasilrillException exception) {
            errors.println("basilrill " + command.name() + ": " + exception.code() + ": " + describe(exception));
            return ExitCode.FAILURE;
        }
    }

    private static String describe(BasilrillException exception) {
        if (exception.code() != ErrorCode.INTERNAL || exception.getCause() == null) {
            return exception.getMessage();
        }
        // Only an unexpected failure needs its cause; all other messages already contain the reason.
        return exception.getMessage() + " (" + exception.getCause() + ")";
    }

    private Optional<Command> find(String... arguments) {
        String line = String.join(" ", arguments) + " ";
        return commands.stream()
                .filter(command -> line.startsWith(command.name() + " "))
                .findFirst();
    }

    private void printHelp() {
        output.println("usage: basilrill COMMAND [options]");
        for (Command command : commands) {
            output.printf("  %-10s %s%n", command.name(), command.summary());
        }
        output.println("See basilrill COMMAND --help for the options of a command.");
    }

    private void printHelp(Command command) {
        output.println("usage: " + command.usage());
        output.println(command.summary());
        for (Option option : command.options().getOptions()) {
            output.printf(
                    "  --%s%s  %s%n", option.getLongOpt(), option.hasArg() ? " VALUE" : "", option.getDescription());
        }
    }
}
