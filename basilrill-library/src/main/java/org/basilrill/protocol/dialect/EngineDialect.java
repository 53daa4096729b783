package org.basilrill.protocol.dialect;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.InstanceId;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/** Format of the requests to engines for their state and of target orders to them. Implementations are stateless. */
public interface EngineDialect {
    /** Returns the request for an engine's state. */
    EngineCall report(TargetAnnouncement engine);

    /**
     * Parses the response to {@link #report}.
     *
     * @return empty if the response is not a report
     */
    Optional<EngineReport> readReport(PlainAnswer response);

    /** Returns the request that sends a target order to an engine. */
    EngineCall order(TargetAnnouncement engine, EngineOrder order, InstanceId holder);

    /** Parses the response to a target order. */
    EngineOrder.Answer readOrderAnswer(PlainAnswer response);

    /** One request to an engine; the body must not be modified. */
    record EngineCall(String method, String path, List<HeaderField> headers, byte[] body) {
        public EngineCall {
            headers = List.copyOf(headers);
        }
    }
}
