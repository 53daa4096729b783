package org.basilrill.state.configuration;

import java.math.BigDecimal;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads numbers with units as they are written in rule files. Stateless and thread safe. */
final class Quantities {
    /** Bounds the number of digits, so that a long number costs no more than a short one. */
    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,18}(?:\\.[0-9]{1,9})?)([A-Za-z]*)");

    private static final Map<String, Long> MEMORY_UNITS =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30, "TiB", 1L << 40);
    private static final Map<String, Long> TOKEN_UNITS = Map.of("", 1L, "k", 1_000L, "M", 1_000_000L);
    private static final Map<String, Long> NO_UNITS = Map.of("", 1L);

    private Quantities() {}

    /** Reads a memory size such as {@code 1.5GiB}; the unit is required. Returns bytes; empty unless they are whole. */
    static Optional<BigDecimal> bytes(String text) {
        return read(text, MEMORY_UNITS).filter(Quantities::isWhole);
    }

    /** Reads a number of tokens such as {@code 2500} or {@code 2.5k}; empty unless it is whole. */
    static Optional<BigDecimal> tokens(String text) {
        return read(text, TOKEN_UNITS).filter(Quantities::isWhole);
    }

    /** Reads a whole number without a unit. */
    static Optional<BigDecimal> count(String text) {
        return read(text, NO_UNITS).filter(Quantities::isWhole);
    }

    /** Reads a decimal number without a unit. */
    static Optional<BigDecimal> decimal(String text) {
        return read(text, NO_UNITS);
    }

    private static Optional<BigDecimal> read(String text, Map<String, Long> units) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.ofNullable(units.get(matcher.group(2)))
                .map(factor -> new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(factor)));
    }

    private static boolean isWhole(BigDecimal value) {
        return value.stripTrailingZeros().scale() <= 0;
    }
}
