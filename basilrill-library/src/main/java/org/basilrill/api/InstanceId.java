package org.basilrill.api;

import java.util.regex.Pattern;

/**
 * Names one instance. Immutable and thread safe.
 *
 * @param value unique name from the settings of the instance, never empty
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}(?:\\.[0-9]{1,3}){3}:[0-9]{1,5}");

    public InstanceId {
        Identifiers.requireValid("instance", value);
    }

    /**
     * Returns whether the name is the address at which other instances reach this one. Only one process at a time can
     * listen there, so a newer process of the name proves that the older one has ended.
     */
    public boolean isAddress() {
        return ADDRESS.matcher(value).matches();
    }

    // Written by hand: the methods generated for records are linked at run time, which adds milliseconds to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof InstanceId name && value.equals(name.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
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
