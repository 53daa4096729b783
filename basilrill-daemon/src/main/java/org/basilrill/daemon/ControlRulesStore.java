package org.basilrill.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.basilrill.coordination.control.ControlLogClient;
import org.basilrill.protocol.dialect.InstanceAccess.RulesStore;
import org.basilrill.state.configuration.RulesSource;
import org.basilrill.state.control.ControlCommand.InstallRules;
import org.basilrill.state.control.ControlResult;

/** Stores the operators' rules in the control log. Immutable and thread safe. */
record ControlRulesStore(ControlLogClient control, Duration deadline) implements RulesStore {
    /** Name recorded in the control log for all operators, because a dialect does not identify them. */
    private static final String OPERATOR = "operator";

    @Override
    public CompletableFuture<ControlResult> install(long revision, String text) {
        return control.submit(new InstallRules(revision, text, OPERATOR), deadline);
    }

    @Override
    public CompletableFuture<RulesSource> read() {
        return control.readRules(deadline);
    }
}
