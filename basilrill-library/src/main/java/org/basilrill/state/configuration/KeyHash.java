package org.basilrill.state.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 hash of a key; keys themselves are never stored. Immutable and thread safe.
 *
 * @param hexadecimal 64 lower-case hexadecimal digits
 */
public record KeyHash(String hexadecimal) {
    private static final String ALGORITHM = "SHA-256";

    /** Returns the hash of a key as a caller sends it. */
    public static KeyHash of(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
            return new KeyHash(HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8))));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(ALGORITHM + " is part of every Java platform", exception);
        }
    }
}
