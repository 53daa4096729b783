package org.basilrill.protocol.observation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.basilrill.protocol.observation.SeriesName.Label;
import org.junit.jupiter.api.Test;

/** Tests the metrics in the Prometheus text format. */
class PrometheusTextTest {
    private final MetricRegistry registry = new MetricRegistry();

    /** Guards against bucket counts that are not cumulative, which would make quantiles wrong. */
    @Test
    void aHistogramIsWrittenWithCumulativeRangesInSeconds() {
        LatencyHistogram histogram = registry.register("request_seconds{phase=\"queue\"}", new LatencyHistogram());
        histogram.add(TimeUnit.MILLISECONDS.toNanos(5));
        histogram.add(TimeUnit.MILLISECONDS.toNanos(400));
        histogram.add(TimeUnit.SECONDS.toNanos(60));
        String text = text();
        assertThat(text, containsString("# TYPE basilrill_request_seconds histogram\n"));
        assertThat(text, containsString("basilrill_request_seconds_bucket{phase=\"queue\",le=\"0.005\"} 1\n"));
        assertThat(text, containsString("basilrill_request_seconds_bucket{phase=\"queue\",le=\"0.25\"} 1\n"));
        assertThat(text, containsString("basilrill_request_seconds_bucket{phase=\"queue\",le=\"0.5\"} 2\n"));
        assertThat(text, containsString("basilrill_request_seconds_bucket{phase=\"queue\",le=\"+Inf\"} 3\n"));
        assertThat(text, containsString("basilrill_request_seconds_sum{phase=\"queue\"} 60.405\n"));
        assertThat(text, containsString("basilrill_request_seconds_count{phase=\"queue\"} 3\n"));
    }

    /** Guards against a type line for each series of a metric, which parsers of the format reject. */
    @Test
    void theSeriesOfAFamilyShareOneTypeLine() {
        registry.counter("requests_total{outcome=\"A\"}").inc(2);
        registry.counter("requests_total{outcome=\"B\"}").inc();
        registry.counter("requests.running").inc(4);
        registry.meter("requests.started").mark();
        assertThat(
                text(),
                is("# TYPE basilrill_requests_running gauge\nbasilrill_requests_running 4\n"
                        + "# TYPE basilrill_requests_started counter\nbasilrill_requests_started 1\n"
                        + "# TYPE basilrill_requests_total counter\n"
                        + "basilrill_requests_total{outcome=\"A\"} 2\nbasilrill_requests_total{outcome=\"B\"} 1\n"));
    }

    /** Guards against names of accounts or targets that make the text invalid. */
    @Test
    void valuesOfLabelsAreEscaped() {
        SeriesName name = new SeriesName("requests_total", List.of(new Label("account", "a\"b\\c\nd")));
        assertThat(name.toString(), is("requests_total{account=\"a\\\"b\\\\c\\nd\"}"));
    }

    /** Guards against memory that grows with the number of names sent by callers or targets. */
    @Test
    void valuesBeyondTheLimitShareOneSeries() {
        BoundedLabel label = new BoundedLabel("target", 2);
        assertThat(label.of("a").value(), is("a"));
        assertThat(label.of("b").value(), is("b"));
        assertThat(label.of("c").value(), is(BoundedLabel.OTHER));
        assertThat(label.of("a").value(), is("a"));
    }

    private String text() {
        return new PrometheusText(registry).write();
    }
}
