package org.basilrill.protocol.caller;

import java.nio.charset.StandardCharsets;

/**
 * Determines the tokens used by a request while the bytes of its response are forwarded: the total stated by the
 * target, or else an estimate from the number of server-sent events or from the length. Not thread safe.
 */
public final class TokenUsage {
    private static final byte[] TOTAL_FIELD = "\"total_tokens\"".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EVENT_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final long MAXIMUM_TOTAL = 1_000_000_000_000L;

    private int matchedFieldBytes;
    private int matchedEventBytes;
    private boolean lineStart = true;
    private boolean readingNumber;
    private long number = -1;
    private long total = -1;
    private long events;
    private long bytes;

    /** Processes the next bytes of the response. */
    public void add(byte[] chunk) {
        bytes += chunk.length;
        for (byte value : chunk) {
            readEvent(value);
            readTotal(value);
        }
    }

    /** Returns the number of bytes processed so far. */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns the number of tokens that the request used.
     *
     * @param promptTokens estimated tokens of the prompt
     * @param charged tokens charged for the request, which is the upper limit of the result
     * @param eventStream whether the response is an event stream, in which each event counts as one token; the tokens
     *     of another response without a total are estimated from its length
     */
    public long tokens(long promptTokens, long charged, boolean eventStream) {
        long stated = Math.max(total, number);
        if (stated >= 0) {
            return Math.min(stated, charged);
        }
        long output = eventStream ? events : (bytes + 3) / 4;
        return Math.min(promptTokens + output, charged);
    }

    private void readEvent(byte value) {
        if (value == '\n') {
            lineStart = true;
            matchedEventBytes = 0;
            return;
        }
        if (!lineStart) {
            return;
        }
        lineStart = value == EVENT_FIELD[matchedEventBytes];
        matchedEventBytes++;
        if (lineStart && matchedEventBytes == EVENT_FIELD.length) {
            events++;
            lineStart = false;
        }
    }

    private void readTotal(byte value) {
        if (readingNumber) {
            readNumber(value);
            return;
        }
        if (value == TOTAL_FIELD[matchedFieldBytes]) {
            matchedFieldBytes++;
        } else {
            matchedFieldBytes = value == TOTAL_FIELD[0] ? 1 : 0;
        }
        if (matchedFieldBytes == TOTAL_FIELD.length) {
            matchedFieldBytes = 0;
            readingNumber = true;
            number = -1;
        }
    }

    private void readNumber(byte value) {
        if (value >= '0' && value <= '9') {
            number = Math.min(Math.max(number, 0) * 10 + value - '0', MAXIMUM_TOTAL);
            return;
        }
        boolean isSeparator = number < 0 && (value == ':' || value == ' ');
        if (!isSeparator) {
            total = Math.max(total, number);
            number = -1;
            readingNumber = false;
        }
    }
}
