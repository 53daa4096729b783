package org.basilrill.coordination.admission;

import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;

/** Charges requests to the token buckets of client accounts. Implementations are thread safe. */
public interface TokenAdmission {
    /**
     * Charges the maximum number of tokens that a request can use.
     *
     * @param tokens prompt tokens plus maximum output tokens
     * @param deadlineNanos time on the monotonic clock at which the caller must have a response
     * @return the charge; fails with {@code RATE_EXCEEDED}, {@code EXCEEDS_BURST} or {@code BUDGET_UNAVAILABLE}, each
     *     with a retry delay if a retry can succeed
     */
    CompletableFuture<Charge> charge(AccountId account, long tokens, long deadlineNanos);

    /** Tokens charged to a bucket for one request. Thread safe. */
    interface Charge {
        /** Returns the tokens that were charged. */
        long tokens();

        /** Refunds the tokens that the request did not use. Only the first call has an effect. */
        void settle(long usedTokens);
    }
}
