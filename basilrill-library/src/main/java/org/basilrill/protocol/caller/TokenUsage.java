package org.basilrill.protocol.caller;

import java.nio.charset.StandardCharsets;

/**
 * Counts the tokens of an answer while its bytes pass: the total the target states, otherwise the number of
 * server-sent events. Not thread safe.
 */
public final class TokenUsage {
    private static final byte[] TOTAL_FIELD = "\"total_tokens\"".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EVENT_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final long MAXIMUM_TOTAL = 1_000_000_000_000L;

    private int fieldMatched;
    private int eventMatched;
    private boolean lineStart = true;
    private boolean readingNumber;
    private long number = -1;
    private long total = -1;
    private long events;
    private long bytes;

    /** Takes the next bytes of the answer. */
    public void add(byte[] chunk) {
        bytes += chunk.length;
        for (byte value : chunk) {
            readEvent(value);
            readTotal(value);
        }
    }

    /** Returns the number of bytes that passed. */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns the tokens the request used.
     *
     * @param promptTokens estimate for the prompt
     * @param charged most tokens it may have used
     * @param eventStream whether each event is a token; otherwise an answer that states no total is counted by length
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
            eventMatched = 0;
            return;
        }
        if (!lineStart) {
            return;
        }
        lineStart = value == EVENT_FIELD[eventMatched];
        eventMatched++;
        if (lineStart && eventMatched == EVENT_FIELD.length) {
            events++;
            lineStart = false;
        }
    }

    private void readTotal(byte value) {
        if (readingNumber) {
            readNumber(value);
            return;
        }
        if (value == TOTAL_FIELD[fieldMatched]) {
            fieldMatched++;
        } else {
            fieldMatched = value == TOTAL_FIELD[0] ? 1 : 0;
        }
        if (fieldMatched == TOTAL_FIELD.length) {
            fieldMatched = 0;
            readingNumber = true;
            number = -1;
        }
    }

    private void readNumber(byte value) {
        if (value >= '0' && value <= '9') {
            number = Math.min(Math.max(number, 0) * 10 + value - '0', MAXIMUM_TOTAL);
            return;
        }
        boolean beforeNumber = number < 0 && (value == ':' || value == ' ');
        if (!beforeNumber) {
            total = Math.max(total, number);
            number = -1;
            readingNumber = false;
        }
    }
}
