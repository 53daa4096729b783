package org.basilrill.coordination.budget;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;

/** A message of the subject BUDGET. Immutable and thread safe. */
public sealed interface BudgetMessage {
    /** Returns the client account whose bucket the message is about. */
    AccountId account();

    /**
     * Everything a requester tells the owner of a bucket.
     *
     * @param incarnation random number of the requesting process
     * @param sequence number of the message; a repeated number is ignored
     */
    record FromRequester(
            AccountId account,
            long epoch,
            long incarnation,
            long sequence,
            Optional<Ask> ask,
            List<Report> reports,
            List<Refund> refunds)
            implements BudgetMessage {
        public FromRequester {
            reports = List.copyOf(reports);
            refunds = List.copyOf(refunds);
        }
    }

    /**
     * Asks for one grant.
     *
     * @param number repeated when the same ask is sent again
     * @param minimum smallest grant that is of use, in tokens
     * @param need tokens of all waiting requests
     * @param lookAhead tokens wanted beyond the need
     */
    record Ask(long number, long minimum, long need, long lookAhead) {}

    /**
     * State of one grant at its requester.
     *
     * @param remaining unspent tokens
     * @param closed whether the requester will spend no more of the grant
     */
    record Report(long ask, long remaining, boolean closed) {}

    /**
     * Tokens that were charged and not used.
     *
     * @param ask number of the ask whose grant paid the charge
     * @param grantedAtNanos time of that grant on the clock of the owner
     */
    record Refund(long ask, long grantedAtNanos, long tokens) {}

    /**
     * Answers an ask.
     *
     * @param tokens size of the grant; 0 if the minimum is not there
     * @param retryAfter time until the minimum is there; zero with a grant
     */
    record Answer(
            AccountId account,
            long epoch,
            long incarnation,
            long ask,
            long tokens,
            long grantedAtNanos,
            Duration retryAfter)
            implements BudgetMessage {}

    /** Asks a requester to return what it does not need at once. */
    record Recall(AccountId account, long epoch) implements BudgetMessage {}

    /**
     * Announces a planned handover that the control log has committed.
     *
     * @param outstanding unspent tokens of the grants of earlier epochs, at most
     */
    record Handover(AccountId account, InstanceId owner, long sessionId, long epoch, long level, long outstanding)
            implements BudgetMessage {}
}
