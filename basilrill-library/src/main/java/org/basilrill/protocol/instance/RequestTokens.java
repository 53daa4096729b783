package org.basilrill.protocol.instance;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.Outcome;
import org.basilrill.coordination.admission.TokenAdmission.Charge;

/** The tokens charged for one request, which are settled once. Not thread safe. */
final class RequestTokens {
    private final RequestServices services;
    private final RequestMetrics metrics;
    private final RequestPlan plan;
    private Optional<Charge> charge = Optional.empty();

    RequestTokens(RequestServices services, RequestMetrics metrics, RequestPlan plan) {
        this.services = services;
        this.metrics = metrics;
        this.plan = plan;
    }

    /** Returns whether the request uses tokens of a client account. */
    boolean needed() {
        return plan.account().isPresent() && plan.chargedTokens() > 0;
    }

    /** Requests the tokens, which are needed; the result is passed to {@link #charged} or settled by the caller. */
    CompletableFuture<Charge> request(long deadlineNanos) {
        return services.admission().charge(plan.account().orElseThrow(), plan.chargedTokens(), deadlineNanos);
    }

    void charged(Charge granted) {
        charge = Optional.of(granted);
    }

    /** Refunds the tokens that the request has not used. */
    void settle(Outcome outcome, ResponseRelay relay) {
        charge.ifPresent(charged -> {
            long used = outcome == Outcome.NOT_RUN ? 0 : relay.usedTokens(plan.promptTokens(), charged.tokens());
            charged.settle(used);
            metrics.countTokens(plan.account(), used);
        });
    }
}
