package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.RecordedAnswer;

/**
 * The claim of one attempt to run an order. Used by one exchange, one call at a time. The outcome is recorded at most
 * once.
 */
final class OrderClaim {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RequestServices services;
    private final RequestPlan.Order order;
    private CompletableFuture<ControlResult> claimed = CompletableFuture.completedFuture(null);
    private boolean finished;

    OrderClaim(RequestServices services, RequestPlan.Order order) {
        this.services = services;
        this.order = order;
    }

    /** Asks the control log for the right to run the order. */
    CompletableFuture<ControlResult> claim(Duration deadline) {
        claimed = services.control()
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
        return claimed;
    }

    /**
     * Records the outcome, once the claim is answered, unless the claim belongs to another attempt. The future
     * completes normally even if that failed, which is logged.
     */
    CompletableFuture<Void> finish(Outcome outcome, Optional<RecordedAnswer> answer) {
        if (finished) {
            return CompletableFuture.completedFuture(null);
        }
        finished = true;
        return claimed.handle((result, failure) -> failure != null || result instanceof ControlResult.OrderGranted)
                .thenCompose(mayHold -> mayHold ? record(outcome, answer) : CompletableFuture.completedFuture(null));
    }

    private CompletableFuture<Void> record(Outcome outcome, Optional<RecordedAnswer> answer) {
        ControlCommand command = new ControlCommand.FinishOrder(
                order.account(), order.idempotencyKey(), order.attempt(), outcome, answer);
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
