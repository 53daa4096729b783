package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.RecordedResponse;

/**
 * The claim of one attempt to run an order. Not thread safe: its exchange calls one method at a time. The outcome is
 * recorded at most once.
 */
final class OrderClaim {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RequestServices services;
    private final RequestPlan.Order order;
    private CompletableFuture<ControlResult> claimResult = CompletableFuture.completedFuture(null);
    private boolean finished;

    OrderClaim(RequestServices services, RequestPlan.Order order) {
        this.services = services;
        this.order = order;
    }

    /** Submits the claim to the control log; the order may run once the claim is granted. */
    CompletableFuture<ControlResult> claim(Duration deadline) {
        claimResult = services.control()
                .submit(
                        new ControlCommand.ClaimOrder(
                                order.account(),
                                order.idempotencyKey(),
                                order.fingerprint(),
                                order.attempt(),
                                services.instance(),
                                services.control().sessionId(),
                                services.wallClockMillis().getAsLong()),
                        deadline);
        return claimResult;
    }

    /**
     * Records the outcome once the result of the claim is known, unless another attempt holds the claim. The future
     * completes normally even if recording failed; the failure is logged.
     */
    CompletableFuture<Void> finish(Outcome outcome, Optional<RecordedResponse> response) {
        if (finished) {
            return CompletableFuture.completedFuture(null);
        }
        finished = true;
        return claimResult
                .handle((result, failure) -> failure != null || result instanceof ControlResult.OrderGranted)
                .thenCompose(mayHoldClaim ->
                        mayHoldClaim ? record(outcome, response) : CompletableFuture.completedFuture(null));
    }

    private CompletableFuture<Void> record(Outcome outcome, Optional<RecordedResponse> response) {
        ControlCommand command = new ControlCommand.FinishOrder(
                order.account(), order.idempotencyKey(), order.attempt(), outcome, response);
        return services.control()
                .submit(command, services.limits().controlDeadline())
                .handle((result, failure) -> {
                    if (failure != null || result instanceof ControlResult.Refused) {
                        LOGGER.atWarning().log(
                                "%s: %s", LogEvent.ORDER_NOT_RECORDED, failure == null ? result : failure.getMessage());
                    }
                    return null;
                });
    }
}
