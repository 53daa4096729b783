package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.junit.jupiter.api.Test;

/** Tests the propagation of traces from the caller to the target. */
class RequestTracingTest {
    private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";
    private static final String CALLER_SPAN = "b7ad6b7169203331";

    private final SpanRecorder spans = new SpanRecorder();

    /** Guards against a target's span that is not part of the caller's trace. */
    @Test
    void aTargetContinuesTheTraceOfTheCallerThroughBothSpansOfTheInstance() {
        CoordinatorFixture fixture = new CoordinatorFixture(
                1,
                SdkTracerProvider.builder()
                        .addSpanProcessor(SimpleSpanProcessor.create(spans))
                        .build()
                        .get("test"));
        fixture.complete("traceparent", "00-" + TRACE + "-" + CALLER_SPAN + "-01");
        FakeConnector.FakeCall call = fixture.connector().last();
        call.stream();
        call.end();
        SpanData attempt = spans.finishedSpans.get(0);
        SpanData request = spans.finishedSpans.get(1);
        assertThat(request.getTraceId(), is(TRACE));
        assertThat(request.getParentSpanId(), is(CALLER_SPAN));
        assertThat(attempt.getParentSpanId(), is(request.getSpanId()));
        assertThat(
                HeaderField.first(call.request().headers(), RequestHead.TRACE_PARENT)
                        .orElse(""),
                is("00-" + TRACE + "-" + attempt.getSpanId() + "-01"));
        assertThat(attempt.getSpanId(), is(not(CALLER_SPAN)));
    }

    /** Records finished spans. */
    private static final class SpanRecorder implements SpanExporter {
        private final List<SpanData> finishedSpans = new CopyOnWriteArrayList<>();

        @Override
        public CompletableResultCode export(Collection<SpanData> exported) {
            finishedSpans.addAll(exported);
            return CompletableResultCode.ofSuccess();
        }

        @Override
        public CompletableResultCode flush() {
            return CompletableResultCode.ofSuccess();
        }

        @Override
        public CompletableResultCode shutdown() {
            return CompletableResultCode.ofSuccess();
        }
    }
}
