package org.basilrill.protocol.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.PlacementMessage;
import org.basilrill.coordination.placement.PlacementMessage.ReportedDemand;
import org.basilrill.coordination.placement.PlacementMessageCodec;
import org.basilrill.state.configuration.Residency;
import org.basilrill.thrift.placement.DemandReport;
import org.basilrill.thrift.placement.ModelDemand;
import org.basilrill.thrift.placement.ModelReadiness;
import org.basilrill.thrift.placement.ReadinessReport;

/**
 * Encodes and decodes messages of the subject PLACEMENT as Thrift structs in the compact protocol. Stateless and thread
 * safe.
 */
public final class ThriftPlacementCodec implements PlacementMessageCodec {
    @Override
    public byte[] encode(PlacementMessage message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(toThrift(message));
        } catch (TException exception) {
            throw new BasilrillException(ErrorCode.INTERNAL, "placement message could not be encoded", exception);
        }
    }

    @Override
    public PlacementMessage decode(byte[] payload) {
        org.basilrill.thrift.placement.PlacementMessage decoded = new org.basilrill.thrift.placement.PlacementMessage();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(decoded, payload);
            return fromThrift(decoded);
        } catch (TException | RuntimeException exception) {
            throw new BasilrillException(
                    ErrorCode.MESSAGE_MALFORMED, "placement message could not be decoded", exception);
        }
    }

    private static org.basilrill.thrift.placement.PlacementMessage toThrift(PlacementMessage message) {
        if (message instanceof PlacementMessage.DemandReport report) {
            return org.basilrill.thrift.placement.PlacementMessage.demand(new DemandReport(
                    report.incarnation(),
                    report.sequence(),
                    report.models().stream().map(ThriftPlacementCodec::toThrift).toList()));
        }
        PlacementMessage.ReadinessReport report = (PlacementMessage.ReadinessReport) message;
        return org.basilrill.thrift.placement.PlacementMessage.readiness(
                new ReadinessReport(report.untilReady().entrySet().stream()
                        .map(entry -> new ModelReadiness(
                                entry.getKey().value(), entry.getValue().toMillis()))
                        .toList()));
    }

    private static ModelDemand toThrift(ReportedDemand reported) {
        ModelDemand demand = new ModelDemand(reported.model().value(), reported.tokens(), reported.waiting());
        reported.residencies()
                .forEach(residency -> demand.addToDataCentres(
                        List.copyOf(residency.dataCentres().orElse(Set.of()))));
        return demand;
    }

    private static ReportedDemand fromThrift(ModelDemand demand) {
        Set<Residency> residencies = new HashSet<>();
        if (demand.isSetDataCentres()) {
            demand.getDataCentres().forEach(allowed -> residencies.add(Residency.within(new HashSet<>(allowed))));
        }
        return new ReportedDemand(new ModelId(demand.getModel()), demand.getTokens(), demand.getWaiting(), residencies);
    }

    private static PlacementMessage fromThrift(org.basilrill.thrift.placement.PlacementMessage message) {
        if (message.isSetDemand()) {
            DemandReport report = message.getDemand();
            return new PlacementMessage.DemandReport(
                    report.getIncarnation(),
                    report.getSequence(),
                    report.getModels().stream()
                            .map(ThriftPlacementCodec::fromThrift)
                            .toList());
        }
        if (message.isSetReadiness()) {
            Map<ModelId, Duration> untilReady = new HashMap<>();
            message.getReadiness()
                    .getModels()
                    .forEach(model -> untilReady.put(
                            new ModelId(model.getModel()), Duration.ofMillis(model.getUntilReadyMillis())));
            return new PlacementMessage.ReadinessReport(untilReady);
        }
        throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "placement message is of an unknown kind");
    }
}
