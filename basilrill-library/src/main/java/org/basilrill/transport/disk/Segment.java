package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import org.basilrill.transport.disk.DataFolder.DataFile;

/**
 * One append-only file of frames. The size covers synced frames only; bytes after it are those of a failed write. Not
 * thread safe.
 */
final class Segment {
    private static final String PREFIX = "segment-";
    private static final String SUFFIX = ".log";

    private final DataFolder folder;
    private final String name;
    private final long number;
    private final DataFile file;
    private long size;
    private long lastFrameOffset;
    private long highestIndex;

    private Segment(DataFolder folder, String name) throws IOException {
        this.folder = folder;
        this.name = name;
        this.number = Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
        this.file = folder.open(name);
    }

    static boolean isSegment(String name) {
        return name.matches(PREFIX + "\\d+" + SUFFIX);
    }

    static Segment create(DataFolder folder, long number) throws IOException {
        Segment created = new Segment(folder, String.format("%s%012d%s", PREFIX, number, SUFFIX));
        try {
            folder.sync();
        } catch (IOException exception) {
            created.close();
            throw exception;
        }
        return created;
    }

    static Segment open(DataFolder folder, String name) throws IOException {
        Segment opened = new Segment(folder, name);
        opened.size = opened.file.size();
        return opened;
    }

    String name() {
        return name;
    }

    long number() {
        return number;
    }

    long size() {
        return size;
    }

    /** Returns the highest index of all records in this segment, including truncated ones; 0 if there are none. */
    long highestIndex() {
        return highestIndex;
    }

    /**
     * Reads all frames in order. An invalid last frame of the last segment is removed as a torn write, which was
     * interrupted before its sync.
     *
     * @param frames receives each frame and its offset
     * @return whether a torn frame was removed
     */
    boolean load(long incarnation, boolean isLastSegment, BiConsumer<LogFrame, Integer> frames) throws IOException {
        ByteBuffer content = ByteBuffer.wrap(folder.read(name));
        int offset = 0;
        while (offset < content.limit()) {
            var frame = LogFrame.decode(incarnation, content, offset);
            if (frame.isEmpty()) {
                requireTornWrite(incarnation, content, offset, isLastSegment);
                size = offset;
                removeUnsyncedBytes();
                return true;
            }
            highestIndex = Math.max(highestIndex, frame.get().lastIndex());
            frames.accept(frame.get(), offset);
            lastFrameOffset = offset;
            offset += LogFrame.encodedBytes(content, offset);
        }
        return false;
    }

    /** Appends and syncs a frame; returns its offset. After a failure its bytes do not count as part of the segment. */
    long append(long incarnation, LogFrame frame) throws IOException {
        long offset = size;
        ByteBuffer encoded = frame.encode(incarnation);
        int length = encoded.remaining();
        file.write(encoded, offset);
        file.sync();
        size = offset + length;
        lastFrameOffset = offset;
        highestIndex = Math.max(highestIndex, frame.lastIndex());
        return offset;
    }

    /** Removes what a failed write may have left after the last synced frame. */
    void removeUnsyncedBytes() throws IOException {
        file.truncate(size);
        file.sync();
    }

    /**
     * Writes the last frame again and syncs it. All frames before it were synced before it was written. Of the last
     * one, a process that was killed may have left it unsynced, and after a failed sync the page cache may hold bytes
     * that no later sync writes.
     */
    void rewriteLastFrame() throws IOException {
        if (size == 0) {
            return;
        }
        ByteBuffer frame = ByteBuffer.wrap(read(lastFrameOffset, (int) (size - lastFrameOffset)));
        file.write(frame, lastFrameOffset);
        file.sync();
    }

    byte[] read(long offset, int length) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(length);
        if (!file.read(buffer, offset)) {
            throw DurableFiles.corrupt(folder, name, "ends within a record");
        }
        return buffer.array();
    }

    void delete() throws IOException {
        file.close();
        folder.delete(name);
    }

    void close() throws IOException {
        file.close();
    }

    /**
     * Throws unless the invalid frame is a torn write. Each frame is written after the sync of the previous one, so an
     * invalid frame before a valid one was corrupted after its sync.
     */
    private void requireTornWrite(long incarnation, ByteBuffer content, int invalid, boolean isLastSegment) {
        if (!isLastSegment) {
            throw DurableFiles.corrupt(folder, name, "has an invalid record at byte " + invalid);
        }
        for (int offset = invalid + 1; offset < content.limit(); offset++) {
            boolean candidate = LogFrame.mayStartAt(content, offset, highestIndex);
            if (candidate && LogFrame.decode(incarnation, content, offset).isPresent()) {
                throw DurableFiles.corrupt(
                        folder,
                        name,
                        String.format("has an invalid record at byte %d before a valid one at %d", invalid, offset));
            }
        }
    }
}
