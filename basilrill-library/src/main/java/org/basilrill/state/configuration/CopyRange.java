package org.basilrill.state.configuration;

import java.util.Optional;

/**
 * The number of copies a model may have, written {@code 1..4} or {@code 2}. Immutable and thread safe.
 *
 * @param minimum 1 or more
 * @param maximum not below the minimum
 */
record CopyRange(int minimum, int maximum) {
    private static final String SEPARATOR = "..";

    /** Reads a range; records a fault and returns empty if it is wrong. */
    static Optional<CopyRange> read(RuleLine line, String field, String text, int limit) {
        int separator = text.indexOf(SEPARATOR);
        String first = separator < 0 ? text : text.substring(0, separator);
        String last = separator < 0 ? text : text.substring(separator + SEPARATOR.length());
        Optional<Long> minimum = line.number(field, Optional.of(first), Quantities::count, 1, limit);
        Optional<Long> maximum =
                separator < 0 ? minimum : line.number(field, Optional.of(last), Quantities::count, 1, limit);
        if (minimum.isEmpty() || maximum.isEmpty()) {
            return Optional.empty();
        }
        if (minimum.get() > maximum.get()) {
            line.fault(field, RuleFaultCode.OUT_OF_RANGE, "the minimum exceeds the maximum in " + text);
            return Optional.empty();
        }
        return Optional.of(new CopyRange(minimum.get().intValue(), maximum.get().intValue()));
    }
}
