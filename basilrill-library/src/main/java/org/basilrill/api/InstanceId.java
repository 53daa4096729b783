package org.basilrill.api;

/**
 * Names one instance. Immutable and thread safe.
 *
 * @param value unique name from the settings of the instance, never empty
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    public InstanceId {
        Identifiers.requireValid("instance", value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
