package org.basilrill.daemon.command;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.basilrill.transport.http.AdministrationClient;

/** The command that begins or ends the evacuation of a data centre. Stateless. */
final class EvacuateCommand {
    private static final String FINISH = "finish";

    private EvacuateCommand() {}

    static Command create(PrintStream output) {
        return new Command(
                "evacuate",
                "DATA-CENTRE",
                "sends no more requests to the targets of a data centre, or sends requests there again",
                AdministrationOptions.create()
                        .addOption(Option.builder()
                                .longOpt(FINISH)
                                .desc("ends the evacuation")
                                .build()),
                arguments -> evacuate(arguments, output));
    }

    private static ExitCode evacuate(CommandLine arguments, PrintStream output) {
        if (arguments.getArgList().size() != 1) {
            throw new UsageException("evacuate requires the name of one data centre");
        }
        String dataCentre = arguments.getArgList().get(0);
        boolean finish = arguments.hasOption(FINISH);
        try (AdministrationClient client = AdministrationOptions.connect(arguments)) {
            AdministrationOptions.bodyOf(client.evacuate(dataCentre, finish));
        }
        output.println((finish ? "no longer evacuated: " : "evacuated: ") + dataCentre);
        return ExitCode.SUCCESS;
    }
}
