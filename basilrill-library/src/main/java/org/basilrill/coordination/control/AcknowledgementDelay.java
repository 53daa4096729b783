package org.basilrill.coordination.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.Scheduler;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlCommand.BeginEvacuation;
import org.basilrill.state.control.ControlCommand.EndEvacuation;
import org.basilrill.state.control.ControlCommand.InstallRules;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlResult;

/**
 * Delays the acknowledgement of an operator's change. An instance that cannot pull decides by its earlier view until
 * the freshness bound has passed. A change is therefore acknowledged only when that time, counted from the commit, ends
 * within the time in which an acknowledged change has to be in force. Immutable and thread safe.
 */
final class AcknowledgementDelay {
    private final Duration delay;
    private final Scheduler scheduler;

    /**
     * Creates a delay.
     *
     * @param inForceWithin time from its acknowledgement in which a change has to be in force at every instance
     */
    AcknowledgementDelay(Duration inForceWithin, Scheduler scheduler) {
        Duration excess = ViewPuller.FRESHNESS_BOUND.minus(inForceWithin);
        delay = excess.isNegative() ? Duration.ZERO : excess;
        this.scheduler = scheduler;
    }

    /** Returns the result of a command: later if it acknowledges a change, otherwise at the same time. */
    CompletableFuture<ControlResult> apply(ControlCommand command, CompletableFuture<ControlResult> result) {
        if (delay.isZero() || !isChange(command)) {
            return result;
        }
        return result.thenCompose(committed -> isAcknowledgement(committed) ? later(committed) : result);
    }

    private CompletableFuture<ControlResult> later(ControlResult committed) {
        CompletableFuture<ControlResult> acknowledged = new CompletableFuture<>();
        scheduler.schedule(delay, () -> acknowledged.complete(committed));
        return acknowledged;
    }

    private static boolean isChange(ControlCommand command) {
        return command instanceof ReplaceRules
                || command instanceof InstallRules
                || command instanceof BeginEvacuation
                || command instanceof EndEvacuation;
    }

    private static boolean isAcknowledgement(ControlResult result) {
        return result instanceof ControlResult.RulesAccepted || result instanceof ControlResult.Done;
    }
}
