package org.basilrill.api;

/**
 * Names one client account. Immutable and thread safe.
 *
 * @param value unique name, never empty
 */
public record AccountId(String value) implements Comparable<AccountId> {
    public AccountId {
        Identifiers.requireValid("client account", value);
    }

    // Written by hand: the methods generated for records are linked at run time, which adds milliseconds to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof AccountId name && value.equals(name.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
