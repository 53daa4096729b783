package org.basilrill.daemon.command;

import java.io.PrintStream;
import java.util.List;

/** Lists the subcommands of the program. Stateless. */
public final class Commands {
    private Commands() {}

    /** Returns all subcommands, in the order of the help text. */
    public static List<Command> all(PrintStream output) {
        return List.of(
                ServeCommand.create(),
                RulesCommands.check(output),
                RulesCommands.apply(output),
                InstanceCommands.status(output),
                InstanceCommands.drain(output),
                InstanceCommands.release(output),
                EvacuateCommand.create(output),
                KeyCommand.create(output));
    }
}
