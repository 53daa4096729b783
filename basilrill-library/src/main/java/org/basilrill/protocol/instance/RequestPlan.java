package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.routing.Prompt;
import org.basilrill.protocol.caller.KeyGuard;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.dialect.RequestMessages;
import org.basilrill.state.configuration.KeyHash;

/**
 * An authorised request and everything that is decided about it before it runs. Immutable and thread safe.
 *
 * @param account client account it runs for; empty on routes open to all
 * @param keyHash key it was authorised by
 * @param promptTokens part of the charge that counts as used once the request ran
 * @param chargedTokens most tokens it may use
 * @param order present if it must run at most once
 * @param repeatable whether it may run twice
 * @param fingerprint identifies the request if it crashes targets
 * @param deadline time to the first byte of the answer or, as the attempts say, to its end
 * @param rulesRevision revision of the rules by which all of this was decided
 * @param messages how the messages of the request are written
 */
record RequestPlan(
        String requestId,
        RequestHead head,
        Optional<AccountId> account,
        Optional<KeyHash> keyHash,
        KeyGuard keyGuard,
        Destination destination,
        int priority,
        long promptTokens,
        long chargedTokens,
        Prompt prompt,
        Optional<Order> order,
        boolean repeatable,
        String fingerprint,
        Duration deadline,
        String pathAndQuery,
        byte[] body,
        RequestMessages messages,
        AttemptPolicy attempts,
        long rulesRevision) {
    /** Returns the plan of a request whose caller has waited for a while. */
    RequestPlan after(Duration waited) {
        return waited.isZero() ? this : withDeadline(deadline.minus(waited));
    }

    private RequestPlan withDeadline(Duration left) {
        if (left.isNegative() || left.isZero()) {
            throw new BasilrillException(
                    ErrorCode.DEADLINE_UNREACHABLE, "the deadline passed before this instance knew its rules");
        }
        return new RequestPlan(
                requestId,
                head,
                account,
                keyHash,
                keyGuard,
                destination,
                priority,
                promptTokens,
                chargedTokens,
                prompt,
                order,
                repeatable,
                fingerprint,
                left,
                pathAndQuery,
                body,
                messages,
                attempts,
                rulesRevision);
    }

    /** The claim an order needs. */
    record Order(AccountId account, String idempotencyKey, String fingerprint, String attempt) {}
}
