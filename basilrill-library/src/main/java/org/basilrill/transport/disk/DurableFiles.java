package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.transport.disk.DataFolder.DataFile;

/**
 * Replaces small files atomically and durably. A file holds either its old or its new content, with a checksum.
 * Stateless and thread safe.
 */
final class DurableFiles {
    private static final String TEMPORARY_SUFFIX = ".new";
    private static final int CHECKSUM_BYTES = Integer.BYTES;

    private DurableFiles() {}

    /** Replaces the content of the file. After a failure the file holds either content. */
    static void replace(DataFolder folder, String name, byte[] content) throws IOException {
        String temporary = name + TEMPORARY_SUFFIX;
        ByteBuffer buffer = ByteBuffer.allocate(CHECKSUM_BYTES + content.length)
                .putInt(checksum(content))
                .put(content)
                .flip();
        // A file left by a failed attempt may have pages that never reach the disk, so a new file is created.
        folder.delete(temporary);
        DataFile file = folder.open(temporary);
        try {
            file.write(buffer, 0);
            file.sync();
        } finally {
            file.close();
        }
        folder.rename(temporary, name);
        folder.sync();
    }

    /** Returns whether the name is that of a file left by an interrupted {@link #replace}. */
    static boolean isTemporary(String name) {
        return name.endsWith(TEMPORARY_SUFFIX);
    }

    /**
     * Reads the content of the file, if it exists.
     *
     * @throws BasilrillException with {@link ErrorCode#LOG_CORRUPT} if the checksum does not match
     */
    static Optional<ByteBuffer> read(DataFolder folder, String name) throws IOException {
        if (!folder.names().contains(name)) {
            return Optional.empty();
        }
        byte[] stored = folder.read(name);
        if (stored.length < CHECKSUM_BYTES) {
            throw corrupt(folder, name, "is too short to hold a checksum");
        }
        ByteBuffer buffer = ByteBuffer.wrap(stored);
        int expected = buffer.getInt();
        CRC32C checksum = new CRC32C();
        checksum.update(stored, CHECKSUM_BYTES, stored.length - CHECKSUM_BYTES);
        if ((int) checksum.getValue() != expected) {
            throw corrupt(folder, name, "has a wrong checksum");
        }
        return Optional.of(buffer);
    }

    static BasilrillException corrupt(DataFolder folder, String name, String detail) {
        return new BasilrillException(
                ErrorCode.LOG_CORRUPT, "file " + folder.path().resolve(name) + " " + detail);
    }

    /** Runs the action and converts an {@link IOException} into a failure with {@link ErrorCode#DISK_FAILED}. */
    static <T> T run(FileAction<T> action) {
        try {
            return action.run();
        } catch (IOException exception) {
            throw new BasilrillException(ErrorCode.DISK_FAILED, FileFailure.reason(exception), exception);
        }
    }

    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return (int) checksum.getValue();
    }

    /** An action on files. */
    @FunctionalInterface
    interface FileAction<T> {
        T run() throws IOException;
    }
}
