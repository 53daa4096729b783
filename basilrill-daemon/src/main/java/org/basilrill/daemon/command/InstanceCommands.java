package org.basilrill.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.transport.http.AdministrationClient;

/** The commands that show the state of the system, drain an instance and release suspects. Stateless. */
final class InstanceCommands {
    private static final String ACCOUNTS = "accounts";
    private static final String MODELS = "models";
    private static final String RULES = "rules";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private InstanceCommands() {}

    static Command status(PrintStream output) {
        return new Command(
                "status",
                "[accounts|models|rules]",
                "shows instances and targets, client accounts, models, or the rules in force",
                AdministrationOptions.create(),
                arguments -> status(arguments, output));
    }

    static Command drain(PrintStream output) {
        return new Command(
                "drain",
                "",
                "stops an instance after its running requests have finished",
                AdministrationOptions.create(),
                arguments -> drain(arguments, output));
    }

    static Command release(PrintStream output) {
        return new Command(
                "release",
                "SUSPECT",
                "accepts a blocked request, or requests with a blocked prompt part, again; status lists them",
                AdministrationOptions.create(),
                arguments -> release(arguments, output));
    }

    private static ExitCode status(CommandLine arguments, PrintStream output) {
        String topic =
                arguments.getArgList().isEmpty() ? "" : arguments.getArgList().get(0);
        try (AdministrationClient client = AdministrationOptions.connect(arguments)) {
            switch (topic) {
                case "" -> output.println(prettyPrinted(AdministrationOptions.bodyOf(client.status())));
                case ACCOUNTS -> output.println(prettyPrinted(AdministrationOptions.bodyOf(client.accounts())));
                case MODELS -> output.println(prettyPrinted(AdministrationOptions.bodyOf(client.models())));
                case RULES -> printRules(AdministrationOptions.bodyOf(client.rules()), output);
                default -> throw new UsageException("\"" + topic + "\" is none of accounts, models and rules");
            }
        } catch (JsonProcessingException exception) {
            throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, "the response is not JSON", exception);
        }
        return ExitCode.SUCCESS;
    }

    private static ExitCode drain(CommandLine arguments, PrintStream output) {
        try (AdministrationClient client = AdministrationOptions.connect(arguments)) {
            AdministrationOptions.bodyOf(client.drain());
            output.println("draining");
            return ExitCode.SUCCESS;
        }
    }

    private static ExitCode release(CommandLine arguments, PrintStream output) {
        if (arguments.getArgList().size() != 1) {
            throw new UsageException("release requires the name of one request or prompt part");
        }
        try (AdministrationClient client = AdministrationOptions.connect(arguments)) {
            String suspect = arguments.getArgList().get(0);
            AdministrationOptions.bodyOf(client.releaseSuspect(suspect));
            output.println("released " + suspect);
            return ExitCode.SUCCESS;
        }
    }

    private static void printRules(String body, PrintStream output) throws JsonProcessingException {
        output.println("# revision " + MAPPER.readTree(body).path("revision").asLong());
        output.print(MAPPER.readTree(body).path("text").asText());
    }

    private static String prettyPrinted(String body) throws JsonProcessingException {
        return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(MAPPER.readTree(body));
    }
}
