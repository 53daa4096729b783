package org.basilrill.protocol.observation;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.caller.PlainRoutes;
import org.basilrill.protocol.caller.RequestHead;

/**
 * Serves the metrics in the Prometheus text format and delegates all other requests to the next routes. Thread safe.
 */
public final class MetricsRoute implements PlainRoutes {
    /** Path of the metrics. The native interface serves the metrics as JSON at another path. */
    public static final String PATH = "/metrics/prometheus";

    private final PrometheusText text;
    private final PlainRoutes next;

    public MetricsRoute(MetricRegistry metrics, PlainRoutes next) {
        text = new PrometheusText(metrics);
        this.next = next;
    }

    @Override
    public CompletableFuture<PlainAnswer> answer(RequestHead head, byte[] body) {
        if (!head.path().equals(PATH) || !head.method().equals("GET")) {
            return next.answer(head, body);
        }
        byte[] content = text.write().getBytes(StandardCharsets.UTF_8);
        return CompletableFuture.completedFuture(PlainAnswer.of(200, PrometheusText.CONTENT_TYPE, content));
    }
}
