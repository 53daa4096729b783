package org.basilrill.protocol.administration;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.evacuation.KnownDataCentres;
import org.basilrill.protocol.dialect.InstanceAccess.Evacuations;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlCommand.BeginEvacuation;
import org.basilrill.state.control.ControlCommand.EndEvacuation;
import org.basilrill.state.control.ControlResult;

/**
 * Commits operators' calls that concern evacuations to the control log. A call about an unknown data centre is refused
 * and changes nothing. Thread safe: the random generator is guarded here.
 */
public final class EvacuationCalls implements Evacuations {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ControlClient control;
    private final Supplier<CompletableFuture<?>> confirmation;
    private final KnownDataCentres dataCentres;
    private final RandomGenerator random;
    private final Duration deadline;

    /**
     * Creates the calls of one instance.
     *
     * @param confirmation completes when the view of the control log is at least as new as all earlier commands; fails
     *     with {@code CONTROL_UNAVAILABLE}
     * @param deadline maximum time to wait for a result of the control log
     */
    public EvacuationCalls(
            ControlClient control,
            Supplier<CompletableFuture<?>> confirmation,
            KnownDataCentres dataCentres,
            RandomGenerator random,
            Duration deadline) {
        this.control = control;
        this.confirmation = confirmation;
        this.dataCentres = dataCentres;
        this.random = random;
        this.deadline = deadline;
    }

    @Override
    public CompletableFuture<Void> begin(String dataCentre) {
        return commit(dataCentre, new BeginEvacuation(dataCentre, nextAttempt()));
    }

    @Override
    public CompletableFuture<Void> end(String dataCentre) {
        return commit(dataCentre, new EndEvacuation(dataCentre, nextAttempt()));
    }

    private CompletableFuture<Void> commit(String dataCentre, ControlCommand command) {
        return requireKnown(dataCentre)
                .thenCompose(known -> control.submit(command, deadline))
                .thenAccept(EvacuationCalls::requireDone)
                .whenComplete((done, failure) -> log(command, Optional.ofNullable(failure)));
    }

    private static void log(ControlCommand command, Optional<Throwable> failure) {
        if (failure.isEmpty()) {
            LOGGER.atInfo().log("%s: %s", LogEvent.EVACUATION_REQUESTED, command);
            return;
        }
        Throwable cause = failure.get() instanceof CompletionException wrapped ? wrapped.getCause() : failure.get();
        LOGGER.atWarning().log("%s: %s, %s", LogEvent.EVACUATION_REFUSED, command, cause.getMessage());
    }

    /** Fails if the data centre is unknown; an evacuated one is known even if it has no member and no target left. */
    private CompletableFuture<Void> requireKnown(String dataCentre) {
        if (isKnown(dataCentre)) {
            return CompletableFuture.completedFuture(null);
        }
        if (!dataCentres.isComplete()) {
            return CompletableFuture.failedFuture(new BasilrillException(
                    ErrorCode.CONTROL_UNAVAILABLE,
                    "this instance has just started and does not know data centre " + dataCentre + " yet"));
        }
        return confirmation.get().thenAccept(confirmed -> {
            if (!isKnown(dataCentre)) {
                throw new BasilrillException(ErrorCode.NOT_FOUND, "there is no data centre " + dataCentre);
            }
        });
    }

    private boolean isKnown(String dataCentre) {
        return dataCentres.contains(dataCentre)
                || control.view().evacuatedDataCentres().containsKey(dataCentre)
                || control.view().endedEvacuations().containsKey(dataCentre);
    }

    private static void requireDone(ControlResult result) {
        if (result instanceof ControlResult.Done) {
            return;
        }
        // A leader of an earlier release reports that it does not know the command.
        throw new BasilrillException(
                ErrorCode.CONTROL_UNAVAILABLE,
                result instanceof ControlResult.Refused refused
                        ? refused.detail()
                        : "unexpected result of a change of an evacuation");
    }

    private long nextAttempt() {
        synchronized (random) {
            return random.nextLong();
        }
    }
}
