package org.basilrill.protocol.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/**
 * Splits a stream of server-sent events at event boundaries, so that another target can resume an interrupted stream
 * after the last complete event. Not thread safe.
 */
public final class EventBoundaries {
    private static final String ID_FIELD = "id:";
    /**
     * Limit for the buffered bytes of an incomplete event. Far above the size of an event with a few tokens, so longer
     * data without a boundary is not a valid event.
     */
    private static final int MAXIMUM_EVENT_BYTES = 16 * 1024;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();
    /** Number of line feeds since the last other byte except carriage returns; two of them end an event. */
    private int consecutiveLineFeeds;

    /**
     * Processes the next bytes of the stream.
     *
     * @return the bytes of all events completed so far and not yet returned, including those buffered before
     * @throws BasilrillException with {@code TARGET_FAILED} if an incomplete event exceeds the size limit
     */
    public byte[] complete(byte[] bytes) {
        int end = 0;
        for (int index = 0; index < bytes.length; index++) {
            byte next = bytes[index];
            if (next == '\n') {
                consecutiveLineFeeds++;
                if (consecutiveLineFeeds >= 2) {
                    end = index + 1;
                }
            } else if (next != '\r') {
                consecutiveLineFeeds = 0;
            }
        }
        if (end == 0) {
            partial.writeBytes(bytes);
            if (partial.size() > MAXIMUM_EVENT_BYTES) {
                throw new BasilrillException(
                        ErrorCode.TARGET_FAILED, "an event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
            }
            return new byte[0];
        }
        partial.write(bytes, 0, end);
        byte[] events = partial.toByteArray();
        partial.reset();
        partial.write(bytes, end, bytes.length - end);
        updateLastId(events);
        return events;
    }

    /** Returns and clears the bytes after the last complete event. To be called once the stream has ended. */
    public byte[] rest() {
        byte[] rest = partial.toByteArray();
        partial.reset();
        return rest;
    }

    /** Discards the bytes of an incomplete event. */
    public void dropPartial() {
        partial.reset();
        consecutiveLineFeeds = 0;
    }

    /** Returns the id of the last complete event that had one. */
    public Optional<String> lastId() {
        return lastId;
    }

    private void updateLastId(byte[] events) {
        for (String line : new String(events, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
    }
}
