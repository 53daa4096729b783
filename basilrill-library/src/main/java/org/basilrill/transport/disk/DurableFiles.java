package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/**
 * Replaces small files atomically and durably. A file holds either its old or its new content, with a checksum.
 * Stateless and thread safe.
 */
final class DurableFiles {
    private static final String TEMPORARY_SUFFIX = ".new";
    private static final int CHECKSUM_BYTES = Integer.BYTES;

    private DurableFiles() {}

    /** Replaces the content of the file. */
    static void replace(Path file, byte[] content) {
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        ByteBuffer buffer = ByteBuffer.allocate(CHECKSUM_BYTES + content.length)
                .putInt(checksum(content))
                .put(content)
                .flip();
        run(() -> {
            try (FileChannel channel = FileChannel.open(
                    temporary,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE)) {
                writeFully(channel, buffer);
                channel.force(true);
            }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            syncFolder(file.getParent());
            return null;
        });
    }

    /**
     * Reads the content of the file, if it exists.
     *
     * @throws BasilrillException with {@link ErrorCode#LOG_CORRUPT} if the checksum does not match
     */
    static Optional<ByteBuffer> read(Path file) {
        return run(() -> {
            if (!Files.exists(file)) {
                return Optional.empty();
            }
            byte[] stored = Files.readAllBytes(file);
            if (stored.length < CHECKSUM_BYTES) {
                throw corrupt(file, "is too short to hold a checksum");
            }
            ByteBuffer buffer = ByteBuffer.wrap(stored);
            int expected = buffer.getInt();
            CRC32C checksum = new CRC32C();
            checksum.update(stored, CHECKSUM_BYTES, stored.length - CHECKSUM_BYTES);
            if ((int) checksum.getValue() != expected) {
                throw corrupt(file, "has a wrong checksum");
            }
            return Optional.of(buffer);
        });
    }

    /** Syncs a folder, which makes the creation, renaming and deletion of its files durable. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    static void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    static BasilrillException corrupt(Path file, String detail) {
        return new BasilrillException(ErrorCode.LOG_CORRUPT, "file " + file + " " + detail);
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
