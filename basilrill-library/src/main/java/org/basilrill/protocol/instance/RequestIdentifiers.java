package org.basilrill.protocol.instance;

import java.util.HexFormat;
import java.util.random.RandomGenerator;

/** Draws identifiers of 128 random bits. Thread safe. */
final class RequestIdentifiers {
    private final RandomGenerator random;

    RequestIdentifiers(RandomGenerator random) {
        this.random = random;
    }

    /** Returns 32 hexadecimal digits. */
    synchronized String next() {
        HexFormat format = HexFormat.of();
        return format.toHexDigits(random.nextLong()) + format.toHexDigits(random.nextLong());
    }
}
