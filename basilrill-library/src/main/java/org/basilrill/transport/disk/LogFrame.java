package org.basilrill.transport.disk;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;

/**
 * One synced write to a segment: the records of a group commit, or a truncation. A frame has a single length and a
 * single CRC32C, because the parts of an unsynced write may reach the disk in any order. With a checksum per record, a
 * torn write could look like a corrupt record followed by a valid one. Immutable and thread safe.
 *
 * <p>Layout: length of the body (4 bytes), CRC32C of incarnation and body (4), body. The body is the first index (8),
 * the number of records (4, 0 for a truncation), then for each record: term (8), kind (1), length (4), payload.
 *
 * @param firstIndex index of the first record, or the index from which records are removed
 * @param records empty for a truncation
 */
record LogFrame(long firstIndex, List<LogRecord> records) {
    static final int HEADER_BYTES = 2 * Integer.BYTES;

    private static final int BODY_START_BYTES = Long.BYTES + Integer.BYTES;
    private static final int RECORD_START_BYTES = Long.BYTES + 1 + Integer.BYTES;
    /** Kinds are stored as indexes into this list, so the order must never change. */
    private static final List<RecordKind> KINDS =
            List.of(RecordKind.COMMAND, RecordKind.MEMBERS, RecordKind.NO_OPERATION);

    long lastIndex() {
        return firstIndex + records.size() - 1;
    }

    boolean isTruncation() {
        return records.isEmpty();
    }

    /** Returns the offset of the payload of each record from the start of the frame. */
    List<Integer> payloadOffsets() {
        List<Integer> offsets = new ArrayList<>(records.size());
        int offset = HEADER_BYTES + BODY_START_BYTES;
        for (LogRecord logged : records) {
            offset += RECORD_START_BYTES;
            offsets.add(offset);
            offset += logged.payload().length;
        }
        return offsets;
    }

    /**
     * Encodes the frame. The checksum includes the incarnation, so that frames of another store are not accepted as
     * valid.
     */
    ByteBuffer encode(long incarnation) {
        int bodyBytes = BODY_START_BYTES
                + records.stream()
                        .mapToInt(logged -> RECORD_START_BYTES + logged.payload().length)
                        .sum();
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + bodyBytes);
        buffer.putInt(bodyBytes).putInt(0).putLong(firstIndex).putInt(records.size());
        for (LogRecord logged : records) {
            buffer.putLong(logged.term())
                    .put((byte) KINDS.indexOf(logged.kind()))
                    .putInt(logged.payload().length)
                    .put(logged.payload());
        }
        buffer.flip();
        buffer.putInt(Integer.BYTES, checksum(incarnation, buffer.slice(HEADER_BYTES, bodyBytes)));
        return buffer;
    }

    /** Decodes the frame that starts at the offset; returns empty if there is no complete and valid frame. */
    static Optional<LogFrame> decode(long incarnation, ByteBuffer segment, int offset) {
        if (segment.limit() - offset < HEADER_BYTES + BODY_START_BYTES) {
            return Optional.empty();
        }
        int bodyBytes = segment.getInt(offset);
        if (bodyBytes < BODY_START_BYTES || bodyBytes > segment.limit() - offset - HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer body = segment.slice(offset + HEADER_BYTES, bodyBytes);
        if (checksum(incarnation, body.duplicate()) != segment.getInt(offset + Integer.BYTES)) {
            return Optional.empty();
        }
        long firstIndex = body.getLong();
        int count = body.getInt();
        List<LogRecord> records = new ArrayList<>();
        for (int position = 0; position < count; position++) {
            long term = body.getLong();
            RecordKind kind = KINDS.get(body.get());
            byte[] payload = new byte[body.getInt()];
            body.get(payload);
            records.add(new LogRecord(firstIndex + position, term, kind, payload));
        }
        return Optional.of(new LogFrame(firstIndex, records));
    }

    /**
     * Returns whether a frame after the given index could start at the offset. This check is cheap, since it computes
     * no checksum.
     */
    static boolean mayStartAt(ByteBuffer segment, int offset, long afterIndex) {
        if (segment.limit() - offset < HEADER_BYTES + BODY_START_BYTES) {
            return false;
        }
        long index = segment.getLong(offset + HEADER_BYTES);
        return index > 0 && index <= afterIndex + segment.limit();
    }

    /** Returns the size of the frame at the offset, which must be valid. */
    static int encodedBytes(ByteBuffer segment, int offset) {
        return HEADER_BYTES + segment.getInt(offset);
    }

    private static int checksum(long incarnation, ByteBuffer body) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Long.BYTES).putLong(incarnation).flip());
        checksum.update(body);
        return (int) checksum.getValue();
    }
}
