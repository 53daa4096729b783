package org.basilrill.protocol.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/**
 * Cuts a stream of server-sent events at the ends of its events, so that a stream that breaks off within an event can
 * be continued by another target after the last whole one. Not thread safe.
 */
public final class EventBoundaries {
    private static final String ID_FIELD = "id:";
    /** Far above an event of some tokens; a line that goes on beyond it is no event. */
    private static final int MAXIMUM_EVENT_BYTES = 16 * 1024;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();
    /** Line ends since the last byte that was none; two of them end an event. */
    private int lineEnds;

    /**
     * Takes the next bytes of the stream.
     *
     * @return those that complete events, with what was kept before
     * @throws BasilrillException with {@code TARGET_FAILED} if an event does not end
     */
    public byte[] complete(byte[] bytes) {
        int end = 0;
        for (int index = 0; index < bytes.length; index++) {
            byte next = bytes[index];
            if (next == '\n') {
                lineEnds++;
                if (lineEnds >= 2) {
                    end = index + 1;
                }
            } else if (next != '\r') {
                lineEnds = 0;
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
        noteIds(events);
        return events;
    }

    /** Returns what follows the last whole event, once the stream has ended. */
    public byte[] rest() {
        byte[] rest = partial.toByteArray();
        partial.reset();
        return rest;
    }

    /** Forgets an event that broke off. */
    public void dropPartial() {
        partial.reset();
        lineEnds = 0;
    }

    /** Returns the id of the last whole event that had one. */
    public Optional<String> lastId() {
        return lastId;
    }

    private void noteIds(byte[] events) {
        for (String line : new String(events, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
    }
}
