package org.basilrill.protocol.observation;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.basilrill.protocol.observation.SeriesName.Label;

/**
 * Creates labels with a bounded number of different values, because each value creates a time series of its own. Thread
 * safe.
 */
public final class BoundedLabel {
    /** Replaces all values beyond the limit. */
    public static final String OTHER = "other";

    private final String name;
    private final int maximumValues;
    private final Set<String> values = ConcurrentHashMap.newKeySet();

    /**
     * Creates a label without values.
     *
     * @param maximumValues maximum number of different values besides {@link #OTHER}
     */
    public BoundedLabel(String name, int maximumValues) {
        this.name = name;
        this.maximumValues = maximumValues;
    }

    /** Returns the label with the value, or with {@link #OTHER} if the value is new and the limit is reached. */
    public Label of(String value) {
        if (!values.contains(value)) {
            synchronized (this) {
                if (values.size() >= maximumValues) {
                    return new Label(name, OTHER);
                }
                values.add(value);
            }
        }
        return new Label(name, value);
    }
}
