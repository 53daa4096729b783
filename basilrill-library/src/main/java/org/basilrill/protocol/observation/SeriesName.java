package org.basilrill.protocol.observation;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The name of one time series: a metric name with labels, as stored in the registry. Immutable and thread safe.
 *
 * @param family name of the metric, in lower case with underscores
 */
public record SeriesName(String family, List<Label> labels) {
    public SeriesName {
        labels = List.copyOf(labels);
    }

    /** One label. The value may be any text. */
    public record Label(String name, String value) {
        private String text() {
            String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
            return name + "=\"" + escaped + "\"";
        }
    }

    /** Returns the name in the Prometheus text format. */
    @Override
    public String toString() {
        return labels.isEmpty()
                ? family
                : labels.stream().map(Label::text).collect(Collectors.joining(",", family + "{", "}"));
    }
}
