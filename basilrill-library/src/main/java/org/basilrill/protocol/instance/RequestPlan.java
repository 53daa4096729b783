package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.routing.Prompt;
import org.basilrill.coordination.routing.RequestProfile;
import org.basilrill.protocol.caller.KeyGuard;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.dialect.CallRequest.StreamResumption;
import org.basilrill.protocol.dialect.RequestMessages;
import org.basilrill.state.configuration.KeyHash;

/**
 * An authorised request and all decisions that are made before it runs. Immutable and thread safe.
 *
 * @param account client account of the request; empty on open routes
 * @param keyHash hash of the key that authorised the request
 * @param promptTokens tokens that count as used once the request has run
 * @param chargedTokens maximum number of tokens that the request may use
 * @param profile size and urgency of the request
 * @param sharedParts parts of the prompt that other requests may contain as well
 * @param resumption the stream that the caller resumes with this request, if it does
 * @param order present if the request must run at most once
 * @param repeatable whether the request may run more than once
 * @param fingerprint identifies the request in crash reports
 * @param deadline time to the first byte of the response, or to its end, depending on the attempt policy
 * @param rulesRevision revision of the rules that the plan is based on
 * @param messages formats the messages of the request
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
        RequestProfile profile,
        List<PromptPartId> sharedParts,
        Optional<StreamResumption> resumption,
        Optional<Order> order,
        boolean repeatable,
        String fingerprint,
        Duration deadline,
        String pathAndQuery,
        byte[] body,
        RequestMessages messages,
        AttemptPolicy attemptPolicy,
        long rulesRevision) {
    RequestPlan {
        sharedParts = List.copyOf(sharedParts);
    }

    /**
     * Returns the request to the dispatcher for one attempt.
     *
     * @param deadlineNanos time at which the caller is expected to disconnect
     * @param endNanos deadline of the request
     * @param excludedTargets targets that must not be used
     * @param restricted destination of the plan, or that of a certain software version
     */
    Dispatcher.Request dispatchRequest(
            long deadlineNanos, long endNanos, Set<TargetId> excludedTargets, Destination restricted) {
        return new Dispatcher.Request(
                requestId,
                account,
                restricted,
                priority,
                chargedTokens,
                deadlineNanos,
                excludedTargets,
                prompt,
                attemptPolicy.deadlineCoversWholeResponse() ? profile.endingAt(endNanos) : profile);
    }

    /** Returns what may crash the targets that run the request: the request as a whole, and its shared prompt parts. */
    List<SuspectId> suspects() {
        List<SuspectId> suspects = new ArrayList<>(sharedParts);
        suspects.add(new RequestFingerprintId(fingerprint));
        return suspects;
    }

    /** Returns the plan with the deadline reduced by the time that the caller has waited already. */
    RequestPlan afterWaiting(Duration waited) {
        return waited.isZero() ? this : withDeadline(deadline.minus(waited));
    }

    private RequestPlan withDeadline(Duration remaining) {
        if (remaining.isNegative() || remaining.isZero()) {
            throw new BasilrillException(
                    ErrorCode.DEADLINE_UNREACHABLE, "the deadline passed before this instance received its rules");
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
                profile,
                sharedParts,
                resumption,
                order,
                repeatable,
                fingerprint,
                remaining,
                pathAndQuery,
                body,
                messages,
                attemptPolicy,
                rulesRevision);
    }

    /** The claim that must be granted before an order runs. */
    record Order(AccountId account, String idempotencyKey, String fingerprint, String attempt) {}
}
