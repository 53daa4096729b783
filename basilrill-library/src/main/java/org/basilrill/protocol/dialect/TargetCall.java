package org.basilrill.protocol.dialect;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.caller.HeaderField;

/**
 * What one target is told with a request, besides the request itself. Immutable and thread safe.
 *
 * @param account client account on whose behalf the request runs
 * @param timeLeft time after which no answer is of use any more
 * @param priority class of service; 0 goes first
 * @param lastEventId event after which the target continues a stream that another one began
 * @param traceFields header fields that carry the trace on
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
