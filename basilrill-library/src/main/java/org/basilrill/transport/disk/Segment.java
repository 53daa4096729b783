package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.BiConsumer;

/** One append-only file of frames. Not thread safe. */
final class Segment {
    private static final String PREFIX = "segment-";
    private static final String SUFFIX = ".log";

    private final Path file;
    private final long number;
    private final FileChannel channel;
    private long size;
    private long highestIndex;

    private Segment(Path file, long number) throws IOException {
        this.file = file;
        this.number = number;
        this.channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        this.size = channel.size();
    }

    static boolean isSegment(Path file) {
        return file.getFileName().toString().matches(PREFIX + "\\d+" + SUFFIX);
    }

    static Segment create(Path folder, long number) throws IOException {
        Segment created = new Segment(folder.resolve(String.format("%s%012d%s", PREFIX, number, SUFFIX)), number);
        DurableFiles.syncFolder(folder);
        return created;
    }

    static Segment open(Path file) throws IOException {
        String name = file.getFileName().toString();
        return new Segment(file, Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length())));
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
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
        int offset = 0;
        while (offset < content.limit()) {
            var frame = LogFrame.decode(incarnation, content, offset);
            if (frame.isEmpty()) {
                requireTornWrite(incarnation, content, offset, isLastSegment);
                truncate(offset);
                return true;
            }
            highestIndex = Math.max(highestIndex, frame.get().lastIndex());
            frames.accept(frame.get(), offset);
            offset += LogFrame.encodedBytes(content, offset);
        }
        return false;
    }

    /** Appends and syncs a frame; returns its offset. */
    long append(long incarnation, LogFrame frame) throws IOException {
        long offset = size;
        ByteBuffer encoded = frame.encode(incarnation);
        size += encoded.remaining();
        channel.position(offset);
        DurableFiles.writeFully(channel, encoded);
        channel.force(false);
        highestIndex = Math.max(highestIndex, frame.lastIndex());
        return offset;
    }

    byte[] read(long offset, int length) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(length);
        while (buffer.hasRemaining()) {
            if (channel.read(buffer, offset + buffer.position()) < 0) {
                throw DurableFiles.corrupt(file, "ends within a record");
            }
        }
        return buffer.array();
    }

    void delete() throws IOException {
        channel.close();
        Files.deleteIfExists(file);
    }

    void close() throws IOException {
        channel.close();
    }

    /**
     * Throws unless the invalid frame is a torn write. Each frame is written after the sync of the previous one, so an
     * invalid frame before a valid one was corrupted after its sync.
     */
    private void requireTornWrite(long incarnation, ByteBuffer content, int invalid, boolean isLastSegment) {
        if (!isLastSegment) {
            throw DurableFiles.corrupt(file, "has an invalid record at byte " + invalid);
        }
        for (int offset = invalid + 1; offset < content.limit(); offset++) {
            boolean candidate = LogFrame.mayStartAt(content, offset, highestIndex);
            if (candidate && LogFrame.decode(incarnation, content, offset).isPresent()) {
                throw DurableFiles.corrupt(
                        file,
                        String.format("has an invalid record at byte %d before a valid one at %d", invalid, offset));
            }
        }
    }

    private void truncate(long newSize) throws IOException {
        channel.truncate(newSize);
        channel.force(true);
        size = newSize;
    }
}
