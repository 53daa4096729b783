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

    // Written by hand: the methods generated for records are linked at run time, which adds milliseconds to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof TargetId name && value.equals(name.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
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
