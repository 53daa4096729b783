package org.basilrill.protocol.instance;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;

/**
 * Records a span for the request at this instance and one for each attempt at a target, and propagates the W3C trace
 * context. Thread safe.
 */
public final class RequestTracing {
    private static final String REQUEST_SPAN = "request";
    private static final String ATTEMPT_SPAN = "attempt";
    private static final String REQUEST_ID = "request.id";
    private static final String TARGET = "target";
    private static final String FAILURE = "failure";

    private final Tracer tracer;

    public RequestTracing(Tracer tracer) {
        this.tracer = tracer;
    }

    /** Starts the span of a request: a child of the caller's span if the caller sent a valid one without a key. */
    Span startRequest(RequestPlan plan) {
        Optional<String> parent = plan.head()
                .header(RequestHead.TRACE_PARENT)
                .filter(value -> !plan.keyGuard().reveals(value));
        Context context = W3CTraceContextPropagator.getInstance().extract(Context.root(), parent, new ParentGetter());
        return tracer.spanBuilder(REQUEST_SPAN)
                .setParent(context)
                .setSpanKind(SpanKind.SERVER)
                .setAttribute(REQUEST_ID, plan.requestId())
                .startSpan();
    }

    /** Starts the span of an attempt. */
    Span startAttempt(Span request, String target) {
        return tracer.spanBuilder(ATTEMPT_SPAN)
                .setParent(Context.root().with(request))
                .setSpanKind(SpanKind.CLIENT)
                .setAttribute(TARGET, target)
                .startSpan();
    }

    /** Returns the header fields that make the target's span a child of this one. */
    List<HeaderField> fields(Span span) {
        List<HeaderField> fields = new ArrayList<>();
        W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), fields, (carrier, name, value) -> {
            if (RequestHead.TRACE_PARENT.equals(name) && carrier != null) {
                carrier.add(new HeaderField(name, value));
            }
        });
        return fields;
    }

    /** Marks the span as failed. */
    void fail(Span span, BasilrillException failure) {
        span.setAttribute(FAILURE, failure.code().name());
        span.setStatus(StatusCode.ERROR, failure.getMessage());
    }

    /** Reads the only trace header field that is accepted from callers. */
    private static final class ParentGetter implements TextMapGetter<Optional<String>> {
        @Override
        public Iterable<String> keys(Optional<String> carrier) {
            return List.of(RequestHead.TRACE_PARENT);
        }

        @Override
        public String get(Optional<String> carrier, String key) {
            return carrier != null && RequestHead.TRACE_PARENT.equals(key) ? carrier.orElse(null) : null;
        }
    }
}
