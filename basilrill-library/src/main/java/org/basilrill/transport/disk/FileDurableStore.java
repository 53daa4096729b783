package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.log.DurableStore;

/**
 * Stores a replica's state in a folder: an identity file, a vote file, a snapshot file and numbered segments of
 * records. Segments are append-only. A truncation is written as a frame too, so that it is as atomic as an append. A
 * lock file prevents a second process from opening the folder. Called by one thread at a time. After a failed write or
 * sync every further write is refused, since the state of the disk is unknown.
 */
public final class FileDurableStore implements DurableStore, AutoCloseable {
    private static final String IDENTITY_FILE = "identity";
    private static final String VOTE_FILE = "vote";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final String LOCK_FILE = "lock";
    /**
     * Size from which a new segment is started. Smaller segments free space sooner after a snapshot, which is taken
     * every 8 MiB at the latest.
     */
    private static final long SEGMENT_BYTES = 4L << 20;

    private final Path folder;
    private final FileChannel lockChannel;
    private final List<Segment> segments = new ArrayList<>();
    private final List<Position> positions = new ArrayList<>();
    private final boolean tornTailRemoved;
    private long incarnation;
    private long baseIndex;
    private Vote vote;
    private Optional<Snapshot> snapshot;
    private boolean failed;

    private FileDurableStore(Path folder, RandomGenerator random) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        lockChannel = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock();
            incarnation = loadIdentity(random);
            vote = DurableFiles.read(folder.resolve(VOTE_FILE))
                    .map(FileDurableStore::decodeVote)
                    .orElse(new Vote(0, Optional.empty()));
            snapshot = DurableFiles.read(folder.resolve(SNAPSHOT_FILE)).map(FileDurableStore::decodeSnapshot);
            tornTailRemoved = loadSegments();
            deleteCoveredRecords();
        } catch (IOException | RuntimeException exception) {
            close();
            throw exception;
        }
    }

    /**
     * Opens the folder, or creates it with a new incarnation if it does not exist.
     *
     * @param random source of the incarnation; must produce different values in different processes
     * @throws BasilrillException with {@code DISK_FAILED} if the folder cannot be used or is in use, and with {@code
     *     LOG_CORRUPT} if its content is damaged
     */
    public static FileDurableStore open(Path folder, RandomGenerator random) {
        try {
            return new FileDurableStore(folder, random);
        } catch (IOException exception) {
            throw new BasilrillException(
                    ErrorCode.DISK_FAILED,
                    "data folder " + folder + " cannot be used: " + FileFailure.reason(exception),
                    exception);
        }
    }

    /** Returns whether opening the folder removed a torn write, which was interrupted before its sync. */
    public boolean tornTailRemoved() {
        return tornTailRemoved;
    }

    @Override
    public long incarnation() {
        return incarnation;
    }

    @Override
    public Vote vote() {
        return vote;
    }

    @Override
    public void saveVote(Vote saved) {
        byte[] candidate = saved.votedFor().orElse("").getBytes(StandardCharsets.UTF_8);
        ByteBuffer content = ByteBuffer.allocate(Long.BYTES + candidate.length)
                .putLong(saved.term())
                .put(candidate);
        write(() -> DurableFiles.replace(folder.resolve(VOTE_FILE), content.array()));
        vote = saved;
    }

    @Override
    public void append(List<LogRecord> records) {
        if (records.isEmpty()) {
            return;
        }
        long first = records.get(0).index();
        for (int position = 0; position < records.size(); position++) {
            if (records.get(position).index() != lastIndex() + 1 + position) {
                throw new BasilrillException(
                        ErrorCode.INTERNAL, String.format("record %d appended after %d", first, lastIndex()));
            }
        }
        appendFrame(new LogFrame(first, List.copyOf(records)));
    }

    @Override
    public void truncateFrom(long index) {
        if (index <= lastIndex()) {
            appendFrame(new LogFrame(index, List.of()));
        }
    }

    @Override
    public List<LogRecord> read(long fromIndex, int maximumBytes) {
        return DurableFiles.run(() -> {
            List<LogRecord> result = new ArrayList<>();
            long bytes = 0;
            for (long index = Math.max(fromIndex, baseIndex + 1); index <= lastIndex(); index++) {
                Position position = positions.get((int) (index - baseIndex - 1));
                bytes += position.length();
                if (!result.isEmpty() && bytes > maximumBytes) {
                    return result;
                }
                byte[] payload = position.segment().read(position.offset(), position.length());
                result.add(new LogRecord(index, position.term(), position.kind(), payload));
            }
            return result;
        });
    }

    @Override
    public long lastIndex() {
        return baseIndex + positions.size();
    }

    @Override
    public Optional<Snapshot> snapshot() {
        return snapshot;
    }

    @Override
    public void saveSnapshot(Snapshot saved) {
        ByteBuffer content =
                ByteBuffer.allocate(2 * Long.BYTES + Integer.BYTES + saved.members().length + saved.state().length);
        content.putLong(saved.lastIndex()).putLong(saved.lastTerm());
        content.putInt(saved.members().length).put(saved.members()).put(saved.state());
        write(() -> {
            DurableFiles.replace(folder.resolve(SNAPSHOT_FILE), content.array());
            snapshot = Optional.of(saved);
            deleteCoveredRecords();
        });
    }

    /** Closes all files and releases the lock on the folder. Safe to call more than once. */
    @Override
    public void close() {
        DurableFiles.run(() -> {
            for (Segment segment : segments) {
                segment.close();
            }
            lockChannel.close();
            return null;
        });
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
        throw new BasilrillException(ErrorCode.DISK_FAILED, "data folder " + folder + " is in use");
    }

    private long loadIdentity(RandomGenerator random) throws IOException {
        Path file = folder.resolve(IDENTITY_FILE);
        Optional<ByteBuffer> stored = DurableFiles.read(file);
        if (stored.isPresent()) {
            return stored.get().getLong();
        }
        boolean holdsData = Files.exists(folder.resolve(VOTE_FILE))
                || Files.exists(folder.resolve(SNAPSHOT_FILE))
                || !segmentFiles().isEmpty();
        if (holdsData) {
            throw DurableFiles.corrupt(file, "is missing from a folder that holds data");
        }
        long created = random.nextLong(1, Long.MAX_VALUE);
        DurableFiles.replace(
                file, ByteBuffer.allocate(Long.BYTES).putLong(created).array());
        return created;
    }

    private List<Path> segmentFiles() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Segment::isSegment)
                    .sorted(Comparator.comparing(Path::toString))
                    .toList();
        }
    }

    private boolean loadSegments() throws IOException {
        baseIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
        List<Path> files = segmentFiles();
        boolean torn = false;
        for (Path file : files) {
            Segment segment = Segment.open(file);
            segments.add(segment);
            boolean isLastSegment = segments.size() == files.size();
            torn = segment.load(incarnation, isLastSegment, (frame, offset) -> replay(file, segment, frame, offset));
        }
        return torn;
    }

    /** Applies a frame read at startup: skips records covered by the snapshot and repeats truncations. */
    private void replay(Path file, Segment segment, LogFrame frame, long offset) {
        if (!frame.isTruncation() && frame.lastIndex() > baseIndex && frame.firstIndex() > lastIndex() + 1) {
            throw DurableFiles.corrupt(
                    file, String.format("has record %d after record %d", frame.firstIndex(), lastIndex()));
        }
        updatePositions(segment, frame, offset);
    }

    private void appendFrame(LogFrame frame) {
        write(() -> {
            if (segments.isEmpty() || segments.get(segments.size() - 1).size() >= SEGMENT_BYTES) {
                long number = segments.isEmpty()
                        ? 1
                        : segments.get(segments.size() - 1).number() + 1;
                segments.add(Segment.create(folder, number));
            }
            Segment active = segments.get(segments.size() - 1);
            long offset = active.append(incarnation, frame);
            updatePositions(active, frame, offset);
        });
    }

    private void updatePositions(Segment segment, LogFrame frame, long offset) {
        if (frame.isTruncation()) {
            int retained = (int) Math.max(0, frame.firstIndex() - baseIndex - 1);
            if (retained < positions.size()) {
                positions.subList(retained, positions.size()).clear();
            }
            return;
        }
        List<Integer> payloadOffsets = frame.payloadOffsets();
        for (int number = 0; number < frame.records().size(); number++) {
            LogRecord logged = frame.records().get(number);
            if (logged.index() == lastIndex() + 1) {
                positions.add(new Position(
                        segment,
                        offset + payloadOffsets.get(number),
                        logged.payload().length,
                        logged.term(),
                        logged.kind()));
            }
        }
    }

    /** Deletes the oldest segments as long as the snapshot covers all their records. */
    private void deleteCoveredRecords() throws IOException {
        long covered = snapshot.map(Snapshot::lastIndex).orElse(0L);
        int dropped = (int) Math.min(positions.size(), Math.max(0, covered - baseIndex));
        positions.subList(0, dropped).clear();
        baseIndex = Math.max(baseIndex, covered);
        boolean deleted = false;
        while (!segments.isEmpty() && segments.get(0).highestIndex() <= covered && covered > 0) {
            segments.remove(0).delete();
            deleted = true;
        }
        if (deleted) {
            DurableFiles.syncFolder(folder);
        }
    }

    private void write(WriteAction action) {
        if (failed) {
            throw new BasilrillException(ErrorCode.DISK_FAILED, "an earlier write to " + folder + " failed");
        }
        failed = true;
        DurableFiles.run(() -> {
            action.run();
            return null;
        });
        failed = false;
    }

    private static Vote decodeVote(ByteBuffer content) {
        long term = content.getLong();
        String candidate = StandardCharsets.UTF_8.decode(content).toString();
        return new Vote(term, candidate.isEmpty() ? Optional.empty() : Optional.of(candidate));
    }

    private static Snapshot decodeSnapshot(ByteBuffer content) {
        long lastIndex = content.getLong();
        long lastTerm = content.getLong();
        byte[] members = new byte[content.getInt()];
        content.get(members);
        byte[] state = new byte[content.remaining()];
        content.get(state);
        return new Snapshot(lastIndex, lastTerm, members, state);
    }

    /** Location of one record's payload, with the term and kind of the record. */
    private record Position(Segment segment, long offset, int length, long term, RecordKind kind) {}

    /** A modification of the folder. */
    @FunctionalInterface
    private interface WriteAction {
        void run() throws IOException;
    }
}
