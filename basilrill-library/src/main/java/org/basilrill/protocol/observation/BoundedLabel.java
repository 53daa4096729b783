package org.basilrill.protocol.observation;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.basilrill.protocol.observation.SeriesName.Label;

/** Gives labels of which only so many different values are kept, as each makes a series of its own. Thread safe. */
public final class BoundedLabel {
    /** Stands for all values beyond the limit. */
    public static final String OTHER = "other";

    private final String name;
    private final int maximumValues;
    private final Set<String> values = ConcurrentHashMap.newKeySet();

    /**
     * Creates a label without values.
     *
     * @param maximumValues different values that are kept, besides {@link #OTHER}
     */
    public BoundedLabel(String name, int maximumValues) {
        this.name = name;
        this.maximumValues = maximumValues;
    }

    /** Returns the label with the value, or with {@link #OTHER} if there are too many others. */
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
