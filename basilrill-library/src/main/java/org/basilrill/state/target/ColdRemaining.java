package org.basilrill.state.target;

import java.time.Duration;
import java.util.regex.Pattern;

/** Reads the time, in milliseconds, that targets state until they are warm. Stateless and thread safe. */
public final class ColdRemaining {
    /** Stands for a statement that cannot be read; the target then counts as not cold, and the statement is counted. */
    public static final long MALFORMED = -1;

    /** A cold state takes seconds; a longer time is an error of the target and would leave it without requests. */
    private static final long LONGEST_MILLIS = Duration.ofHours(1).toMillis();

    private static final Pattern MILLIS = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");

    private ColdRemaining() {}

    /** Returns a stated number rounded up, or {@link #MALFORMED} if it is not from 0 to one hour. */
    public static long of(double millis) {
        return millis >= 0 && millis <= LONGEST_MILLIS ? (long) Math.ceil(millis) : MALFORMED;
    }

    /** Parses a stated number like {@link #of}. */
    public static long parse(String text) {
        String trimmed = text.trim();
        return MILLIS.matcher(trimmed).matches() ? of(Double.parseDouble(trimmed)) : MALFORMED;
    }
}
