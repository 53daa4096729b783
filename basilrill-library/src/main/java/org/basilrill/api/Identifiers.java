package org.basilrill.api;

import java.util.regex.Pattern;

/** Validates the names used in settings, rules and announcements. Stateless and thread safe. */
final class Identifiers {
    /** Names travel in URLs, headers and log lines, so only characters that need no escaping are allowed. */
    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");

    private Identifiers() {}

    static void requireValid(String kind, String value) {
        if (value == null || !VALID.matcher(value).matches()) {
            throw new BasilrillException(
                    ErrorCode.INVALID_NAME, String.format("%s name \"%s\" must match %s", kind, value, VALID));
        }
    }
}
