package org.basilrill.transport.observation;

import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.exporter.logging.LoggingSpanExporter;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;

/** Sets up tracing with an exporter that writes the span of each hop to the log. Stateless and thread safe. */
public final class Tracing {
    private static final String INSTRUMENTATION = "org.basilrill";
    /**
     * Share of the traces without a parent span that are sampled. Requests with a parent span follow its sampling
     * decision.
     */
    private static final double DEFAULT_SAMPLED_SHARE = 0.01;

    private Tracing() {}

    /** Returns a tracer of a new provider. */
    public static Tracer tracer() {
        return SdkTracerProvider.builder()
                .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(DEFAULT_SAMPLED_SHARE)))
                .addSpanProcessor(
                        BatchSpanProcessor.builder(LoggingSpanExporter.create()).build())
                .build()
                .get(INSTRUMENTATION);
    }
}
