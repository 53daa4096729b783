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

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
