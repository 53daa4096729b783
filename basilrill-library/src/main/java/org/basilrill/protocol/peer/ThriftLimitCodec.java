package org.basilrill.protocol.peer;

import java.util.Optional;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.limit.LimitMessage;
import org.basilrill.coordination.limit.LimitMessage.Observation;
import org.basilrill.coordination.limit.LimitMessage.PermitDemand;
import org.basilrill.coordination.limit.LimitMessage.PermitGrant;
import org.basilrill.coordination.limit.LimitMessage.PermitIssue;
import org.basilrill.coordination.limit.LimitMessage.PermitReport;
import org.basilrill.coordination.limit.LimitMessageCodec;
import org.basilrill.coordination.limit.TargetKey;
import org.basilrill.state.target.ColdRemaining;
import org.basilrill.state.target.RequestRate;
import org.basilrill.thrift.limit.LimitObservation;

/**
 * Encodes and decodes messages of the subject TARGET_LIMIT as Thrift structs in the compact protocol. Stateless and
 * thread safe.
 */
public final class ThriftLimitCodec implements LimitMessageCodec {
    @Override
    public byte[] encode(LimitMessage message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(toThrift(message));
        } catch (TException exception) {
            throw new BasilrillException(ErrorCode.INTERNAL, "limit message could not be encoded", exception);
        }
    }

    @Override
    public LimitMessage decode(byte[] payload) {
        org.basilrill.thrift.limit.LimitMessage decoded = new org.basilrill.thrift.limit.LimitMessage();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(decoded, payload);
            return fromThrift(decoded);
        } catch (TException | RuntimeException exception) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "limit message could not be decoded", exception);
        }
    }

    private static org.basilrill.thrift.limit.LimitMessage toThrift(LimitMessage message) {
        if (message instanceof PermitReport report) {
            return org.basilrill.thrift.limit.LimitMessage.report(new org.basilrill.thrift.limit.PermitReport(
                    report.incarnation(),
                    report.sequence(),
                    report.demands().stream().map(ThriftLimitCodec::toThrift).toList(),
                    report.observations().stream()
                            .map(ThriftLimitCodec::toThrift)
                            .toList()));
        }
        PermitIssue issue = (PermitIssue) message;
        return org.basilrill.thrift.limit.LimitMessage.issue(new org.basilrill.thrift.limit.PermitIssue(
                issue.term(),
                issue.grants().stream().map(ThriftLimitCodec::toThrift).toList(),
                issue.limits().stream().map(ThriftLimitCodec::toThrift).toList()));
    }

    private static org.basilrill.thrift.limit.PermitDemand toThrift(PermitDemand demand) {
        return new org.basilrill.thrift.limit.PermitDemand(
                toThrift(demand.limit()),
                demand.waiting(),
                demand.wantsSpare(),
                demand.priority(),
                demand.waitedMillis(),
                demand.lastGrant(),
                demand.returnedPermits());
    }

    private static org.basilrill.thrift.limit.PermitGrant toThrift(PermitGrant grant) {
        return new org.basilrill.thrift.limit.PermitGrant(
                grant.target().target().value(),
                grant.target().incarnation(),
                grant.number(),
                grant.permits(),
                grant.waitMillis(),
                grant.reportSequence(),
                grant.intervalMillis());
    }

    private static LimitObservation toThrift(Observation observation) {
        LimitObservation encoded = new LimitObservation(
                observation.target().target().value(), observation.target().incarnation(), observation.ageMillis());
        observation.rate().ifPresent(rate -> encoded.setPerSecond(rate.perSecond()));
        if (observation.isCold()) {
            encoded.setColdRemainingMillis(observation.coldRemainingMillis());
        }
        return encoded;
    }

    private static LimitMessage fromThrift(org.basilrill.thrift.limit.LimitMessage message) {
        if (message.isSetReport()) {
            org.basilrill.thrift.limit.PermitReport report = message.getReport();
            return new PermitReport(
                    report.getIncarnation(),
                    report.getSequence(),
                    report.getDemands().stream()
                            .map(ThriftLimitCodec::fromThrift)
                            .toList(),
                    report.getObservations().stream()
                            .map(ThriftLimitCodec::fromThrift)
                            .toList());
        }
        if (message.isSetIssue()) {
            org.basilrill.thrift.limit.PermitIssue issue = message.getIssue();
            return new PermitIssue(
                    issue.getTerm(),
                    issue.getGrants().stream().map(ThriftLimitCodec::fromThrift).toList(),
                    issue.getLimits().stream().map(ThriftLimitCodec::fromThrift).toList());
        }
        throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "limit message is of an unknown kind");
    }

    private static PermitDemand fromThrift(org.basilrill.thrift.limit.PermitDemand demand) {
        return new PermitDemand(
                demand.getWaiting(),
                demand.isWantsSpare(),
                demand.getPriority(),
                demand.getWaitedMillis(),
                fromThrift(demand.getLimit()),
                demand.getLastGrant(),
                demand.getReturnedPermits());
    }

    private static PermitGrant fromThrift(org.basilrill.thrift.limit.PermitGrant grant) {
        return new PermitGrant(
                new TargetKey(new TargetId(grant.getTarget()), grant.getIncarnation()),
                grant.getNumber(),
                grant.getPermits(),
                grant.getWaitMillis(),
                grant.getIntervalMillis(),
                grant.getReportSequence());
    }

    private static Observation fromThrift(LimitObservation observation) {
        Optional<RequestRate> rate = observation.isSetPerSecond()
                ? Optional.of(new RequestRate(observation.getPerSecond()))
                : Optional.empty();
        return new Observation(
                new TargetKey(new TargetId(observation.getTarget()), observation.getIncarnation()),
                rate,
                observation.getAgeMillis(),
                Math.max(0, ColdRemaining.of(observation.getColdRemainingMillis())));
    }
}
