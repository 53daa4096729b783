package org.basilrill.daemon.command;

import java.nio.file.Path;
import java.util.List;
import org.basilrill.state.configuration.RuleFault;

/** Reports every fault of a rules file, one to a line. */
final class RulesFaultsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    RulesFaultsException(Path file, List<RuleFault> faults) {
        super(RuleFault.describeAll(file.toString(), faults));
    }
}
