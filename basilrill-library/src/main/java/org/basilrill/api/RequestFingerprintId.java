package org.basilrill.api;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Identifies a whole request that may come again, by its fingerprint. Immutable and thread safe.
 *
 * @param value SHA-256 of account, method, path and body in hexadecimal digits
 */
public record RequestFingerprintId(String value) implements SuspectId {
    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    public RequestFingerprintId {
        Objects.requireNonNull(value, "value");
    }

    /** Returns whether the text is a fingerprint as operators write it. */
    static boolean isValid(String text) {
        return SHA_256.matcher(text).matches();
    }

    @Override
    public String toString() {
        return value;
    }
}
