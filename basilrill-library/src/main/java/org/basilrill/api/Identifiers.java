package org.basilrill.api;

/** Validates the names used in settings, rules and announcements. Stateless and thread safe. */
final class Identifiers {
    private static final int MAXIMUM_LENGTH = 128;
    /** Names are used in URLs, headers and log lines, so only characters that need no escaping are allowed. */
    private static final String PUNCTUATION = "._:/-";

    private Identifiers() {}

    static void requireValid(String kind, String value) {
        if (value == null || !isValid(value)) {
            throw new BasilrillException(
                    ErrorCode.INVALID_NAME,
                    String.format(
                            "%s name \"%s\" must be 1 to %d letters, digits or any of %s, the first a letter or digit",
                            kind, value, MAXIMUM_LENGTH, PUNCTUATION));
        }
    }

    /**
     * Checks each character: names are created for each message and look-up, and a regular expression took most of that
     * time.
     */
    private static boolean isValid(String value) {
        if (value.isEmpty() || value.length() > MAXIMUM_LENGTH || !isLetterOrDigit(value.charAt(0))) {
            return false;
        }
        for (int index = 1; index < value.length(); index++) {
            char next = value.charAt(index);
            if (!isLetterOrDigit(next) && PUNCTUATION.indexOf(next) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
    }
}
