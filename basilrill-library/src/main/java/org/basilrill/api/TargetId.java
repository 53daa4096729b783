package org.basilrill.api;

/**
 * Names one target, an engine or a plain service. Immutable and thread safe.
 *
 * @param value unique name, never empty
 */
public record TargetId(String value) implements Comparable<TargetId> {
    public TargetId {
        Identifiers.requireValid("target", value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
