package org.basilrill.protocol.dialect;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.InstanceId;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/** How engines are asked for their state and ordered to load and unload. Implementations are stateless. */
public interface EngineDialect {
    /** Returns the request for an engine's state. */
    EngineCall report(TargetAnnouncement engine);

    /**
     * Reads the answer to {@link #report}.
     *
     * @return empty if the answer is no report
     */
    Optional<EngineReport> readReport(PlainAnswer answer);

    /** Returns an order of an instance to an engine. */
    EngineCall order(TargetAnnouncement engine, EngineOrder order, InstanceId holder);

    /** Reads the answer to an order. */
    EngineOrder.Answer readOrderAnswer(PlainAnswer answer);

    /** One request to an engine; the body must not be modified. */
    record EngineCall(String method, String path, List<HeaderField> headers, byte[] body) {
        public EngineCall {
            headers = List.copyOf(headers);
        }
    }
}
