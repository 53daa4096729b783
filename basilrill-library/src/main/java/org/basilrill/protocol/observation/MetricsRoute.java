package org.basilrill.protocol.observation;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.basilrill.protocol.caller.LocalRoutes;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.RequestHead;

/**
 * Serves the metrics in the Prometheus text format and delegates all other requests to the next routes. Thread safe.
 */
public final class MetricsRoute implements LocalRoutes {
    /** Path of the metrics. The native interface serves the metrics as JSON at another path. */
    public static final String PATH = "/metrics/prometheus";

    private final PrometheusText text;
    private final LocalRoutes next;

    public MetricsRoute(MetricRegistry metrics, LocalRoutes next) {
        text = new PrometheusText(metrics);
        this.next = next;
    }

    @Override
    public CompletableFuture<PlainResponse> handle(RequestHead head, byte[] body) {
        if (!head.path().equals(PATH) || !head.method().equals("GET")) {
            return next.handle(head, body);
        }
        byte[] content = text.write().getBytes(StandardCharsets.UTF_8);
        return CompletableFuture.completedFuture(PlainResponse.of(200, PrometheusText.CONTENT_TYPE, content));
    }
}
