package org.basilrill.coordination.admission;

import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;

/** Charges requests to the token buckets of client accounts. Implementations are thread safe. */
public interface TokenAdmission {
    /**
     * Charges the tokens a request may use at most.
     *
     * @param tokens prompt tokens plus maximum output tokens
     * @param deadlineNanos time on the monotonic clock at which the caller must have an answer
     * @return the charge; fails with {@code RATE_EXCEEDED}, {@code EXCEEDS_BURST} or {@code BUDGET_UNAVAILABLE}, each
     *     with the delay after which to try again where one helps
     */
    CompletableFuture<Charge> charge(AccountId account, long tokens, long deadlineNanos);

    /** Tokens taken from a bucket for one request. Thread safe. */
    interface Charge {
        /** Returns the tokens that were charged. */
        long tokens();

        /** Gives back what the request did not use. Only the first call has an effect. */
        void settle(long usedTokens);
    }
}
