package org.basilrill.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.daemon.TextFiles;
import org.basilrill.daemon.settings.SettingsReader;
import org.basilrill.state.configuration.ParsedRules;
import org.basilrill.state.configuration.RulesParser;
import org.basilrill.transport.http.AdministrationClient;

/** The commands that check files of rules or settings, and replace the rules. Stateless. */
final class RulesCommands {
    private static final String REVISION = "revision";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RulesCommands() {}

    static Command check(PrintStream output) {
        return new Command(
                "check",
                "FILE",
                "checks a settings file or a rules file",
                new Options(),
                arguments -> check(arguments, output));
    }

    static Command apply(PrintStream output) {
        Options options = AdministrationOptions.create()
                .addOption(Option.builder()
                        .longOpt(REVISION)
                        .hasArg()
                        .type(Number.class)
                        .required()
                        .desc("revision that the new rules replace, as shown by \"status rules\"")
                        .build());
        return new Command("apply", "FILE", "replaces the rules", options, arguments -> apply(arguments, output));
    }

    private static ExitCode check(CommandLine arguments, PrintStream output) {
        Path file = fileOf(arguments);
        String text = read(file);
        if (text.stripLeading().startsWith("{")
                || text.stripLeading().startsWith("//")
                || text.stripLeading().startsWith("/*")) {
            SettingsReader.parse(file.toString(), text);
            output.println(file + ": settings are valid");
        } else {
            checkRules(file, text);
            output.println(file + ": rules are valid");
        }
        return ExitCode.SUCCESS;
    }

    private static ExitCode apply(CommandLine arguments, PrintStream output) {
        Path file = fileOf(arguments);
        String text = read(file);
        checkRules(file, text);
        long revision = revisionOf(arguments);
        try (AdministrationClient client = AdministrationOptions.connect(arguments)) {
            String body = AdministrationOptions.bodyOf(client.replaceRules(revision, text));
            output.println("accepted as revision "
                    + MAPPER.readTree(body).path(REVISION).asLong());
            return ExitCode.SUCCESS;
        } catch (JsonProcessingException exception) {
            throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, "the response is not JSON", exception);
        }
    }

    private static void checkRules(Path file, String text) {
        ParsedRules parsed = RulesParser.parse(text, 1);
        if (!parsed.faults().isEmpty()) {
            throw new RulesFaultsException(file, parsed.faults());
        }
    }

    private static long revisionOf(CommandLine arguments) {
        String value = arguments.getOptionValue(REVISION);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException exception) {
            throw new UsageException("revision \"" + value + "\" is not a whole number");
        }
    }

    private static Path fileOf(CommandLine arguments) {
        if (arguments.getArgList().size() != 1) {
            throw new UsageException("exactly one file is required");
        }
        return Path.of(arguments.getArgList().get(0));
    }

    private static String read(Path file) {
        return TextFiles.read("file", file);
    }
}
