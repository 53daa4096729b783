package org.basilrill.protocol.dialect;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.InstanceId;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/** Format of the requests to engines for their state and of target orders to them. Implementations are stateless. */
public interface EngineDialect {
    /** Returns the request for an engine's state. */
    EngineRequest reportRequest(TargetAnnouncement engine);

    /**
     * Parses the response to {@link #reportRequest}.
     *
     * @return empty if the response is not a report
     */
    Optional<EngineReport> readReport(PlainResponse response);

    /** Returns the request that sends a target order to an engine. */
    EngineRequest orderRequest(TargetAnnouncement engine, EngineOrder order, InstanceId holder);

    /** Parses the response to a target order. */
    EngineOrder.Response readOrderResponse(PlainResponse response);

    /** One request to an engine; the body must not be modified. */
    record EngineRequest(String method, String path, List<HeaderField> headers, byte[] body) {
        public EngineRequest {
            headers = List.copyOf(headers);
        }
    }
}
