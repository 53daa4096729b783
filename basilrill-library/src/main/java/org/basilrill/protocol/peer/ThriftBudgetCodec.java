package org.basilrill.protocol.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.budget.BudgetMessage;
import org.basilrill.coordination.budget.BudgetMessageCodec;
import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.thrift.budget.BucketHandover;
import org.basilrill.thrift.budget.GrantAnswer;
import org.basilrill.thrift.budget.GrantAsk;
import org.basilrill.thrift.budget.GrantRecall;
import org.basilrill.thrift.budget.GrantReport;
import org.basilrill.thrift.budget.RequesterMessage;
import org.basilrill.thrift.budget.TokenRefund;

/**
 * Encodes and decodes messages of the subject BUDGET as Thrift structs in the compact protocol. Stateless and thread
 * safe.
 */
public final class ThriftBudgetCodec implements BudgetMessageCodec {
    @Override
    public byte[] encode(BudgetMessage message) {
        return ThriftCodec.encode(toThrift(message));
    }

    @Override
    public BudgetMessage decode(byte[] payload) {
        org.basilrill.thrift.budget.BudgetMessage decoded =
                ThriftCodec.decode(org.basilrill.thrift.budget.BudgetMessage::new, payload);
        try {
            return fromThrift(decoded);
        } catch (RuntimeException exception) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "budget message could not be decoded", exception);
        }
    }

    private static org.basilrill.thrift.budget.BudgetMessage toThrift(BudgetMessage message) {
        if (message instanceof BudgetMessage.FromRequester requester) {
            return org.basilrill.thrift.budget.BudgetMessage.requester(toThrift(requester));
        }
        if (message instanceof BudgetMessage.Answer response) {
            return org.basilrill.thrift.budget.BudgetMessage.answer(toThrift(response));
        }
        if (message instanceof BudgetMessage.Recall recall) {
            return org.basilrill.thrift.budget.BudgetMessage.recall(
                    new GrantRecall(recall.account().value(), recall.epoch()));
        }
        BudgetMessage.Handover handover = (BudgetMessage.Handover) message;
        return org.basilrill.thrift.budget.BudgetMessage.handover(new BucketHandover(
                handover.account().value(),
                handover.owner().value(),
                handover.sessionId(),
                handover.epoch(),
                handover.level(),
                handover.outstanding()));
    }

    private static RequesterMessage toThrift(BudgetMessage.FromRequester message) {
        RequesterMessage encoded = new RequesterMessage(
                message.account().value(), message.epoch(), message.incarnation(), message.sequence());
        message.ask()
                .ifPresent(request -> encoded.setAsk(
                        new GrantAsk(request.number(), request.minimum(), request.need(), request.lookAhead())));
        if (!message.reports().isEmpty()) {
            encoded.setReports(message.reports().stream()
                    .map(report -> new GrantReport(report.ask(), report.remaining(), report.closed()))
                    .toList());
        }
        if (!message.refunds().isEmpty()) {
            encoded.setRefunds(message.refunds().stream()
                    .map(refund -> new TokenRefund(refund.grantedAtNanos(), refund.tokens(), refund.ask()))
                    .toList());
        }
        return encoded;
    }

    private static GrantAnswer toThrift(BudgetMessage.Answer response) {
        GrantAnswer encoded = new GrantAnswer(
                response.account().value(),
                response.epoch(),
                response.incarnation(),
                response.ask(),
                response.tokens(),
                response.grantedAtNanos());
        if (!response.retryAfter().isZero()) {
            encoded.setRetryAfterNanos(response.retryAfter().toNanos());
        }
        return encoded;
    }

    private static BudgetMessage fromThrift(org.basilrill.thrift.budget.BudgetMessage message) {
        if (message.isSetRequester()) {
            return fromThrift(message.getRequester());
        }
        if (message.isSetAnswer()) {
            GrantAnswer response = message.getAnswer();
            return new BudgetMessage.Answer(
                    new AccountId(response.getAccount()),
                    response.getEpoch(),
                    response.getIncarnation(),
                    response.getAsk(),
                    response.getTokens(),
                    response.getGrantedAtNanos(),
                    Duration.ofNanos(response.getRetryAfterNanos()));
        }
        if (message.isSetRecall()) {
            GrantRecall recall = message.getRecall();
            return new BudgetMessage.Recall(new AccountId(recall.getAccount()), recall.getEpoch());
        }
        if (message.isSetHandover()) {
            BucketHandover handover = message.getHandover();
            return new BudgetMessage.Handover(
                    new AccountId(handover.getAccount()),
                    new InstanceId(handover.getOwner()),
                    handover.getSession(),
                    handover.getEpoch(),
                    handover.getLevel(),
                    handover.getOutstanding());
        }
        throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "budget message is of an unknown kind");
    }

    private static BudgetMessage fromThrift(RequesterMessage message) {
        Optional<BudgetMessage.Ask> request = Optional.ofNullable(message.getAsk())
                .map(encoded -> new BudgetMessage.Ask(
                        encoded.getAsk(), encoded.getMinimum(), encoded.getNeed(), encoded.getLookAhead()));
        List<BudgetMessage.Report> reports = orEmpty(message.getReports()).stream()
                .map(report -> new BudgetMessage.Report(report.getAsk(), report.getRemaining(), report.isClosed()))
                .toList();
        List<BudgetMessage.Refund> refunds = orEmpty(message.getRefunds()).stream()
                .map(refund ->
                        new BudgetMessage.Refund(refund.getAsk(), refund.getGrantedAtNanos(), refund.getTokens()))
                .toList();
        return new BudgetMessage.FromRequester(
                new AccountId(message.getAccount()),
                message.getEpoch(),
                message.getIncarnation(),
                message.getSequence(),
                request,
                reports,
                refunds);
    }

    private static <T> List<T> orEmpty(List<T> list) {
        return list == null ? List.of() : list;
    }
}
