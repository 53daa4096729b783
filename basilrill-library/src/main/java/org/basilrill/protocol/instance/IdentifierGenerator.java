package org.basilrill.protocol.instance;

import java.util.HexFormat;
import java.util.random.RandomGenerator;

/** Generates random identifiers of 128 bits. Thread safe. */
final class IdentifierGenerator {
    private final RandomGenerator random;

    IdentifierGenerator(RandomGenerator random) {
        this.random = random;
    }

    /** Returns an identifier of 32 hexadecimal digits. */
    synchronized String next() {
        HexFormat format = HexFormat.of();
        return format.toHexDigits(random.nextLong()) + format.toHexDigits(random.nextLong());
    }
}
