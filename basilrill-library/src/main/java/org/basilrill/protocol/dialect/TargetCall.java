package org.basilrill.protocol.dialect;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.caller.HeaderField;

/**
 * The information sent to a target along with a request. Immutable and thread safe.
 *
 * @param account client account on whose behalf the request runs
 * @param timeLeft time remaining until the caller stops waiting for the response
 * @param priority class of service; 0 is the highest
 * @param lastEventId id of the event after which the target resumes a stream that another target started
 * @param traceFields header fields that propagate the trace context
 */
public record TargetCall(
        TargetId target,
        Optional<AccountId> account,
        Duration timeLeft,
        int priority,
        Optional<String> lastEventId,
        List<HeaderField> traceFields) {
    public TargetCall {
        traceFields = List.copyOf(traceFields);
    }
}
