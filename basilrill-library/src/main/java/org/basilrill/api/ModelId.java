package org.basilrill.api;

import java.util.Optional;

/**
 * Names a model, or an adapter on a base model as {@code model/adapter}. Immutable and thread safe.
 *
 * @param value the name callers use in the {@code model} field
 */
public record ModelId(String value) implements Comparable<ModelId> {
    private static final char ADAPTER_SEPARATOR = '/';

    public ModelId {
        Identifiers.requireValid("model", value);
    }

    /** Returns the base model; for a model without an adapter, the model itself. */
    public ModelId base() {
        int separator = value.indexOf(ADAPTER_SEPARATOR);
        return separator < 0 ? this : new ModelId(value.substring(0, separator));
    }

    /** Returns the adapter part of the name, if there is one. */
    public Optional<String> adapter() {
        int separator = value.indexOf(ADAPTER_SEPARATOR);
        return separator < 0 ? Optional.empty() : Optional.of(value.substring(separator + 1));
    }

    // Written by hand: the methods generated for records are linked at run time, which adds milliseconds to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ModelId name && value.equals(name.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
