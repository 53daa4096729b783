package org.basilrill.daemon.command;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.daemon.InstanceDaemon;
import org.basilrill.daemon.settings.SettingsReader;

/** Runs an instance until it is told to stop. Stateless. */
final class ServeCommand {
    private static final String SETTINGS = "settings";

    private ServeCommand() {}

    static Command create() {
        Options options = new Options()
                .addOption(Option.builder()
                        .longOpt(SETTINGS)
                        .hasArg()
                        .required()
                        .desc("settings file of the instance")
                        .build());
        return new Command("serve", "", "runs an instance", options, ServeCommand::run);
    }

    private static ExitCode run(CommandLine arguments) {
        InstanceDaemon daemon = new InstanceDaemon(SettingsReader.read(Path.of(arguments.getOptionValue(SETTINGS))));
        daemon.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
        try {
            daemon.awaitStop();
            return ExitCode.SUCCESS;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new BasilrillException(ErrorCode.INTERNAL, "interrupted while serving", exception);
        }
    }

    private static void stop(InstanceDaemon daemon) {
        daemon.beginStop();
        try {
            daemon.awaitStop();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
