package org.basilrill.daemon.command;

import java.nio.file.Path;
import java.util.List;
import org.basilrill.state.configuration.RuleFault;

/** Thrown for a rules file with faults; its message has one line for each fault. */
final class RulesFaultsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    RulesFaultsException(Path file, List<RuleFault> faults) {
        super(RuleFault.describeAll(file.toString(), faults));
    }
}
