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
    private static final String COMMENT = ":";
    /**
     * Limit for the buffered bytes of an incomplete event. Far above the size of an event with a few tokens, so longer
     * data without a boundary is not a valid event.
     */
    private static final int MAXIMUM_EVENT_BYTES = 16 * 1024;

    private final ByteArrayOutputStream incompleteEvent = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();
    /** Whether the next event must be the one after the last ID, because another target resumes the stream. */
    private boolean awaitsContinuation;
    /** Number of line feeds since the last other byte except carriage returns; two of them end an event. */
    private int consecutiveLineFeeds;

    /**
     * Processes the next bytes of the stream.
     *
     * @return the bytes of all events completed so far and not yet returned, including those buffered before
     * @throws BasilrillException with {@code TARGET_FAILED} if an incomplete event exceeds the size limit, and with
     *     {@code STREAM_CUT} if the stream is resumed with anything but a later event
     */
    public byte[] addChunk(byte[] bytes) {
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
            incompleteEvent.writeBytes(bytes);
            if (incompleteEvent.size() > MAXIMUM_EVENT_BYTES) {
                throw new BasilrillException(
                        ErrorCode.TARGET_FAILED, "an event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
            }
            return new byte[0];
        }
        incompleteEvent.write(bytes, 0, end);
        byte[] events = incompleteEvent.toByteArray();
        incompleteEvent.reset();
        requireContinuation(events);
        incompleteEvent.write(bytes, end, bytes.length - end);
        updateLastId(events);
        return events;
    }

    /** Returns and clears the bytes after the last complete event. To be called once the stream has ended. */
    public byte[] takeRemainder() {
        byte[] rest = incompleteEvent.toByteArray();
        incompleteEvent.reset();
        return rest;
    }

    /** Discards the bytes of an incomplete event. If events were returned, the stream must be resumed after them. */
    public void discardIncomplete() {
        incompleteEvent.reset();
        consecutiveLineFeeds = 0;
        awaitsContinuation = lastId.isPresent();
    }

    /** Returns whether the stream may end here: not inside an event, and not before the first resumed one. */
    public boolean mayEnd() {
        return !awaitsContinuation
                && incompleteEvent.toString(StandardCharsets.UTF_8).lines().noneMatch(EventBoundaries::isField);
    }

    /** Returns the id of the last complete event that had one. */
    public Optional<String> lastId() {
        return lastId;
    }

    private void requireContinuation(byte[] events) {
        if (!awaitsContinuation) {
            return;
        }
        Optional<String> firstId = new String(events, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.startsWith(COMMENT))
                .dropWhile(String::isBlank)
                .takeWhile(line -> !line.isBlank())
                .filter(line -> line.startsWith(ID_FIELD))
                .findFirst()
                .map(line -> line.substring(ID_FIELD.length()).trim());
        if (firstId.isEmpty() || firstId.equals(lastId)) {
            throw new BasilrillException(ErrorCode.STREAM_CUT, "the stream was not resumed after its last event");
        }
        awaitsContinuation = false;
    }

    /** Returns whether a line is part of an event; empty lines and comments are not. */
    private static boolean isField(String line) {
        return !line.isBlank() && !line.startsWith(COMMENT);
    }

    private void updateLastId(byte[] events) {
        for (String line : new String(events, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
    }
}
