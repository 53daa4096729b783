package org.basilrill.protocol.observation;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Writes the metrics of a registry in the Prometheus text format. Thread safe. */
public final class PrometheusText {
    /** Media type of the format. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final String PREFIX = "basilrill_";
    private static final String TOTAL = "_total";

    private final MetricRegistry metrics;

    public PrometheusText(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Returns all metrics, grouped by family. */
    public String write() {
        Map<String, Map<String, Metric>> families = new TreeMap<>();
        metrics.getMetrics().forEach((name, metric) -> {
            int labels = name.indexOf('{');
            String family = labels < 0 ? name : name.substring(0, labels);
            families.computeIfAbsent(familyName(family), known -> new TreeMap<>())
                    .put(labels < 0 ? "" : name.substring(labels + 1, name.length() - 1), metric);
        });
        StringBuilder text = new StringBuilder();
        families.forEach((family, series) -> write(text, family, series));
        return text.toString();
    }

    private static String familyName(String name) {
        return PREFIX + name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
    }

    private static void write(StringBuilder text, String family, Map<String, Metric> series) {
        String type = typeOf(family, series.values().iterator().next());
        text.append("# TYPE ").append(family).append(' ').append(type).append('\n');
        series.forEach((labels, metric) -> {
            if (metric instanceof LatencyHistogram histogram) {
                writeHistogram(text, family, labels, histogram);
            } else if (metric instanceof Counting counting) {
                appendSample(text, family, labels, counting.getCount());
            } else if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number value) {
                appendSample(text, family, labels, value);
            }
        });
    }

    /**
     * Counters of the registry may also decrease, so they are exported as gauges unless their name ends with {@code
     * _total}.
     */
    private static String typeOf(String family, Metric metric) {
        if (metric instanceof LatencyHistogram) {
            return "histogram";
        }
        boolean countsUp = metric instanceof Counting && !(metric instanceof Counter);
        return countsUp || family.endsWith(TOTAL) ? "counter" : "gauge";
    }

    private static void writeHistogram(StringBuilder text, String family, String labels, LatencyHistogram histogram) {
        String labelPrefix = labels.isEmpty() ? "" : labels + ",";
        List<Long> bounds = LatencyHistogram.boundsMillis();
        long count = 0;
        for (int range = 0; range < bounds.size(); range++) {
            count += histogram.count(range);
            double seconds = bounds.get(range) / (double) TimeUnit.SECONDS.toMillis(1);
            appendSample(text, family + "_bucket", labelPrefix + "le=\"" + seconds + "\"", count);
        }
        count += histogram.count(bounds.size());
        appendSample(text, family + "_bucket", labelPrefix + "le=\"+Inf\"", count);
        double seconds = histogram.totalNanos() / (double) TimeUnit.SECONDS.toNanos(1);
        appendSample(text, family + "_sum", labels, seconds);
        appendSample(text, family + "_count", labels, count);
    }

    private static void appendSample(StringBuilder text, String name, String labels, Number value) {
        text.append(name);
        if (!labels.isEmpty()) {
            text.append('{').append(labels).append('}');
        }
        text.append(' ').append(value).append('\n');
    }
}
