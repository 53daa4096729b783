package org.basilrill.transport.http;

import java.util.List;
import org.apache.hc.core5.http.ProtocolException;
import org.basilrill.protocol.caller.HeaderField;

/**
 * The rules for the field lines of HTTP messages, those of trailers included, and for the fields that state the length
 * of a body (RFC 9110, section 5, and RFC 9112, sections 5 and 6). They are the same for requests and responses.
 * Stateless and thread safe.
 *
 * <p>A line that another program could read differently is an error. The HTTP library accepts blanks and control
 * characters in names, so that a spoilt field that states the length of the body passed for an unknown field.
 */
final class MessageFields {
    private static final char DELETE = 0x7f;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";

    private MessageFields() {}

    /**
     * Parses a field line.
     *
     * @param line the line without its end, not empty; each character is one byte
     * @throws ProtocolException if the line is not a token, a colon directly after it, and a value without control
     *     characters; names the rule that is broken
     */
    static HeaderField parse(String line) throws ProtocolException {
        int colon = line.indexOf(':');
        require(!isBlank(line.charAt(0)), "a field line is folded or begins with a blank");
        require(colon >= 0, "a field line has no colon");
        require(colon > 0, "a field has no name");
        String name = line.substring(0, colon);
        require(isToken(name), "the name of a field holds a character that is not allowed");
        int start = colon + 1;
        int end = line.length();
        while (start < end && isBlank(line.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(line.charAt(end - 1))) {
            end--;
        }
        String value = line.substring(start, end);
        require(isText(value), "the value of a field holds a control character");
        return new HeaderField(name, value);
    }

    /** Returns whether the text holds no control characters other than tabs. */
    static boolean isText(String text) {
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character < ' ' && character != '\t' || character == DELETE) {
                return false;
            }
        }
        return true;
    }

    /**
     * Requires that the fields state the length of the body once at most, and so that it can be read in one way only.
     *
     * @throws ProtocolException if a message has several fields that state it, a length that is not a decimal number,
     *     or a transfer coding other than {@code chunked}
     */
    static void requireOneBodyLength(List<HeaderField> fields) throws ProtocolException {
        int statements = 0;
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase(CONTENT_LENGTH)) {
                statements++;
                require(isLength(field.value()), "Content-Length is not a decimal number");
            } else if (field.name().equalsIgnoreCase(TRANSFER_ENCODING)) {
                statements++;
                require(field.value().equalsIgnoreCase("chunked"), "Transfer-Encoding is not chunked");
            }
        }
        require(statements <= 1, "the length of the body is stated more than once");
    }

    /** Returns whether fields with at most one valid length or coding state that a body follows. */
    static boolean announceBody(List<HeaderField> fields) {
        return HeaderField.first(fields, TRANSFER_ENCODING).isPresent()
                || HeaderField.first(fields, CONTENT_LENGTH)
                        .filter(length -> Long.parseLong(length) > 0)
                        .isPresent();
    }

    private static boolean isLength(String value) {
        if (value.isEmpty() || !value.chars().allMatch(MessageFields::isDigit)) {
            return false;
        }
        try {
            return Long.parseLong(value) >= 0;
        } catch (NumberFormatException tooLarge) {
            return false;
        }
    }

    private static boolean isToken(String text) {
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (!isLetter(character) && !isDigit(character) && TOKEN_SYMBOLS.indexOf(character) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetter(int character) {
        return character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z';
    }

    private static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }

    private static boolean isBlank(char character) {
        return character == ' ' || character == '\t';
    }

    private static void require(boolean condition, String rule) throws ProtocolException {
        if (!condition) {
            throw new ProtocolException(rule);
        }
    }
}
