package org.basilrill.state.configuration;

import java.util.Optional;
import java.util.regex.Pattern;

/** Reads key hashes of rule files. Stateless and thread safe. */
final class HashReader {
    private static final String PREFIX = "sha256:";
    private static final Pattern DIGITS = Pattern.compile("[0-9a-f]{64}");

    private HashReader() {}

    /** Reads a hash; records a fault and returns empty if it is wrong. The fault does not repeat the value. */
    static Optional<KeyHash> read(RuleLine line, String text) {
        if (text.startsWith(PREFIX)
                && DIGITS.matcher(text.substring(PREFIX.length())).matches()) {
            return Optional.of(new KeyHash(text.substring(PREFIX.length())));
        }
        // The value may be a key that was pasted by mistake, and faults are logged.
        line.fault("hash", RuleFaultCode.INVALID_VALUE, "a hash is sha256: and 64 lower-case hexadecimal digits");
        return Optional.empty();
    }
}
