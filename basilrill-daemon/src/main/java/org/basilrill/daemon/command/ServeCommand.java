package org.basilrill.daemon.command;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.time.Clock;
import java.util.logging.Handler;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.daemon.InstanceDaemon;
import org.basilrill.daemon.log.BoundedLog;
import org.basilrill.daemon.settings.SettingsException;
import org.basilrill.daemon.settings.SettingsReader;
import sun.misc.Signal;

/** The command that runs an instance until it is stopped by a signal or a drain request. Stateless. */
final class ServeCommand {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String SETTINGS = "settings";
    private static final String RELOAD_SIGNAL = "HUP";

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
        BoundedLog log = configureLogging();
        Path file = Path.of(arguments.getOptionValue(SETTINGS));
        InstanceDaemon daemon = new InstanceDaemon(SettingsReader.read(file));
        daemon.start();
        // SIGHUP reloads the settings. Without a handler it ends the process.
        Signal.handle(new Signal(RELOAD_SIGNAL), signal -> reload(daemon, file));
        Runtime.getRuntime().addShutdownHook(new Thread(stopAndCloseLog(() -> stop(daemon), log), "shutdown"));
        try {
            daemon.awaitStop();
            return ExitCode.SUCCESS;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new BasilrillException(ErrorCode.INTERNAL, "interrupted while serving", exception);
        }
    }

    /** Replaces all log handlers with one that writes JSON lines to the standard output from its own thread. */
    private static BoundedLog configureLogging() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        BoundedLog log = new BoundedLog(System.out, Clock.systemUTC());
        root.addHandler(log);
        return log;
    }

    /**
     * Returns the last action of the process. The process ends as soon as it returns, so it waits until the lines that
     * the stop has logged are written.
     */
    static Runnable stopAndCloseLog(Runnable stop, BoundedLog log) {
        return () -> {
            stop.run();
            log.close();
        };
    }

    private static void reload(InstanceDaemon daemon, Path file) {
        try {
            daemon.reload(SettingsReader.read(file));
        } catch (BasilrillException | SettingsException exception) {
            LOGGER.atWarning().log("%s: %s", LogEvent.SETTINGS_REJECTED, exception.getMessage());
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
