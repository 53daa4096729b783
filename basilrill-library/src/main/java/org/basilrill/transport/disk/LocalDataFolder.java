package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/**
 * A data folder in the file system of this machine. A lock file prevents a second process from opening the folder. Used
 * by one thread at a time.
 */
final class LocalDataFolder implements DataFolder {
    private static final String LOCK_FILE = "lock";

    private final Path path;
    private final FileChannel lockChannel;

    private LocalDataFolder(Path path) throws IOException {
        this.path = path;
        Files.createDirectories(path);
        lockChannel = FileChannel.open(path.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock();
        } catch (IOException | RuntimeException exception) {
            lockChannel.close();
            throw exception;
        }
    }

    /** Opens and locks the folder, and creates it if it does not exist. */
    static LocalDataFolder open(Path path) throws IOException {
        return new LocalDataFolder(path);
    }

    @Override
    public Path path() {
        return path;
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            return files.map(file -> file.getFileName().toString()).toList();
        }
    }

    @Override
    public DataFile open(String name) throws IOException {
        return new LocalDataFile(FileChannel.open(
                path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(path.resolve(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                path.resolve(from),
                path.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockChannel.close();
    }

    private void lock() throws IOException {
        try {
            FileLock lock = lockChannel.tryLock();
            if (lock != null) {
                return;
            }
        } catch (OverlappingFileLockException exception) {
            // The lock is held by this process itself; reported like a lock held by another process.
        }
        throw new BasilrillException(ErrorCode.DISK_FAILED, "data folder " + path + " is in use");
    }

    /** An open file of the folder. */
    private record LocalDataFile(FileChannel channel) implements DataFile {
        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public boolean read(ByteBuffer buffer, long position) throws IOException {
            long next = position;
            while (buffer.hasRemaining()) {
                int count = channel.read(buffer, next);
                if (count < 0) {
                    return false;
                }
                next += count;
            }
            return true;
        }

        @Override
        public void write(ByteBuffer buffer, long position) throws IOException {
            long next = position;
            while (buffer.hasRemaining()) {
                next += channel.write(buffer, next);
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void sync() throws IOException {
            channel.force(true);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
