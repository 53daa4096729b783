package org.basilrill.coordination.budget;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;

/** A message of the subject BUDGET. Immutable and thread safe. */
public sealed interface BudgetMessage {
    /** Returns the client account whose bucket the message concerns. */
    AccountId account();

    /**
     * Message of a requester to the owner of a bucket: a grant request, reports and refunds.
     *
     * @param incarnation random number of the requesting process
     * @param sequence number of the message; a message with a repeated number is ignored
     */
    record RequesterUpdate(
            AccountId account,
            long epoch,
            long incarnation,
            long sequence,
            Optional<GrantRequest> grantRequest,
            List<Report> reports,
            List<Refund> refunds)
            implements BudgetMessage {
        public RequesterUpdate {
            reports = List.copyOf(reports);
            refunds = List.copyOf(refunds);
        }
    }

    /**
     * Request for one grant.
     *
     * @param number number of the grant request; unchanged when it is resent
     * @param minimum smallest useful grant, in tokens
     * @param need tokens that all queued requests need
     * @param lookAhead tokens requested beyond the need
     */
    record GrantRequest(long number, long minimum, long need, long lookAhead) {}

    /**
     * State of one grant at its requester.
     *
     * @param remaining unspent tokens
     * @param closed whether the requester spends no more tokens of the grant
     */
    record Report(long requestNumber, long remaining, boolean closed) {}

    /**
     * Tokens that were charged but not used.
     *
     * @param requestNumber number of the request whose grant the tokens were charged to
     * @param grantedAtNanos time of that grant, on the clock of the owner
     */
    record Refund(long requestNumber, long grantedAtNanos, long tokens) {}

    /**
     * Response to a grant request.
     *
     * @param tokens size of the grant; 0 if the bucket has less than the minimum
     * @param retryAfter time until the bucket has the minimum; zero with a grant
     */
    record GrantResponse(
            AccountId account,
            long epoch,
            long incarnation,
            long requestNumber,
            long tokens,
            long grantedAtNanos,
            Duration retryAfter)
            implements BudgetMessage {}

    /** Request to a requester to return the tokens that no queued request needs. */
    record Recall(AccountId account, long epoch) implements BudgetMessage {}

    /**
     * Announces a planned handover that the control log has committed.
     *
     * @param outstanding upper bound of the unspent tokens in grants of earlier epochs
     */
    record Handover(AccountId account, InstanceId owner, long sessionId, long epoch, long level, long outstanding)
            implements BudgetMessage {}
}
