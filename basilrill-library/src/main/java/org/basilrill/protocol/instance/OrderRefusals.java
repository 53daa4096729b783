package org.basilrill.protocol.instance;

import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;
import org.basilrill.state.control.ControlResult;

/** Converts the results of claims that were not granted to exceptions. Stateless and thread safe. */
final class OrderRefusals {
    private OrderRefusals() {}

    /** Returns the exception; its outcome is that of the order under the same idempotency key. */
    static BasilrillException of(ControlResult result, RequestLimits limits) {
        if (result instanceof ControlResult.OrderRunning running) {
            return new BasilrillException(
                            ErrorCode.ORDER_RUNNING, "the order is running at instance " + running.holder())
                    .withRetryAfter(limits.orderRetryDelay());
        }
        if (result instanceof ControlResult.Refused refused) {
            return new BasilrillException(refused.code(), refused.detail());
        }
        if (result instanceof ControlResult.OrderFinished finished) {
            return ofFinished(finished);
        }
        return new BasilrillException(ErrorCode.INTERNAL, "unexpected result of an order claim")
                .withOutcome(Outcome.NOT_RUN);
    }

    private static BasilrillException ofFinished(ControlResult.OrderFinished finished) {
        return switch (finished.outcome()) {
            case RAN ->
                new BasilrillException(
                        ErrorCode.ORDER_ANSWER_NOT_KEPT, "the order ran; its response was too large to record");
            case MAY_HAVE_RUN ->
                new BasilrillException(
                        ErrorCode.ORDER_OUTCOME_UNKNOWN, "the order may have run; its response was lost");
            case NOT_RUN ->
                new BasilrillException(
                                ErrorCode.ORDER_OUTCOME_UNKNOWN, "the order ended without running; use a new key")
                        .withOutcome(Outcome.NOT_RUN);
        };
    }
}
