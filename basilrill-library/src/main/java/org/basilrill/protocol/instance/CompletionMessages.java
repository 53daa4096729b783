package org.basilrill.protocol.instance;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.ErrorBody;
import org.basilrill.protocol.caller.ForwardedHeaders;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.KeyGuard;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.dialect.RequestMessages;
import org.basilrill.protocol.dialect.TargetCall;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement.Load;

/** The messages of completions and service calls in the native API. Immutable and thread safe. */
record CompletionMessages(RequestHead head, String id, KeyGuard guard) implements RequestMessages {
    /** Status returned by a full target, which then has not run any part of the request. */
    private static final int SERVICE_UNAVAILABLE = 503;

    @Override
    public List<HeaderField> targetHeaders(TargetCall call) {
        return ForwardedHeaders.toTarget(head, id, call.traceFields(), guard);
    }

    @Override
    public List<HeaderField> callerHeaders(List<HeaderField> headers) {
        return ForwardedHeaders.toCaller(headers);
    }

    @Override
    public Optional<String> requestId(ResponseHead response) {
        return response.header(RequestHead.REQUEST_ID);
    }

    @Override
    public boolean reportsNotRun(ResponseHead response) {
        return response.status() == SERVICE_UNAVAILABLE;
    }

    @Override
    public boolean reportsMisdirected(ResponseHead response) {
        return false;
    }

    @Override
    public Optional<Load> load(ResponseHead response) {
        return Optional.empty();
    }

    @Override
    public Optional<RequestRate> requestRate(ResponseHead response) {
        return response.header(ResponseHead.REQUEST_RATE_LIMIT).flatMap(RequestRate::parse);
    }

    @Override
    public Optional<byte[]> failureEvent(BasilrillException failure) {
        return Optional.of(ErrorBody.event(failure));
    }
}
