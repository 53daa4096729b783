package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.log.DurableStore;

/**
 * Stores a replica's state in a folder: an identity file, a vote file, a snapshot file and numbered segments of
 * records. Segments are append-only. A truncation is written as a frame too, so that it is as atomic as an append.
 * Called by one thread at a time. After a failed write or sync the state of the disk is unknown, so every further write
 * is refused until {@link #recover} has removed what the failed write left. What the store returns is always what was
 * synced.
 */
public final class FileDurableStore implements DurableStore, AutoCloseable {
    private static final String IDENTITY_FILE = "identity";
    private static final String VOTE_FILE = "vote";
    private static final String SNAPSHOT_FILE = "snapshot";
    /**
     * Size from which a new segment is started. Smaller segments free space sooner after a snapshot, which is taken
     * every 8 MiB at the latest.
     */
    private static final long SEGMENT_BYTES = 4L << 20;

    private final DataFolder folder;
    private final List<Segment> segments = new ArrayList<>();
    private final List<Position> positions = new ArrayList<>();
    private final boolean tornTailRemoved;
    private long incarnation;
    private long baseIndex;
    private Vote vote;
    private Optional<Snapshot> snapshot;
    private boolean failed;
    /** Whether the stored snapshot may be one whose saving failed. */
    private boolean snapshotUncertain;

    private FileDurableStore(DataFolder folder, RandomGenerator random) throws IOException {
        this.folder = folder;
        try {
            incarnation = loadIdentity(random);
            vote = DurableFiles.read(folder, VOTE_FILE)
                    .map(FileDurableStore::decodeVote)
                    .orElse(new Vote(0, Optional.empty()));
            snapshot = DurableFiles.read(folder, SNAPSHOT_FILE).map(FileDurableStore::decodeSnapshot);
            tornTailRemoved = loadSegments();
            deleteLeftovers();
            rewriteUnsyncedState();
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
            return new FileDurableStore(LocalDataFolder.open(folder), random);
        } catch (IOException exception) {
            throw new BasilrillException(
                    ErrorCode.DISK_FAILED,
                    "data folder " + folder + " cannot be used: " + FileFailure.reason(exception),
                    exception);
        }
    }

    /** Opens a folder; see {@link #open(Path, RandomGenerator)}. */
    static FileDurableStore open(DataFolder folder, RandomGenerator random) {
        return DurableFiles.run(() -> new FileDurableStore(folder, random));
    }

    /**
     * Makes the store writable again after a failed write. Removes what the failed write may have left, and writes and
     * syncs again what earlier writes may have left unsynced.
     *
     * @throws BasilrillException with {@code DISK_FAILED} if the disk still fails; the store then stays read-only
     */
    public void recover() {
        DurableFiles.run(() -> {
            deleteLeftovers();
            if (!segments.isEmpty()) {
                segments.get(segments.size() - 1).removeUnsyncedBytes();
            }
            rewriteUnsyncedState();
            restoreSnapshot();
            return null;
        });
        failed = false;
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
        write(() -> DurableFiles.replace(folder, VOTE_FILE, encodeVote(saved)));
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
        write(() -> {
            snapshotUncertain = true;
            DurableFiles.replace(folder, SNAPSHOT_FILE, encodeSnapshot(saved));
            snapshotUncertain = false;
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
            folder.close();
            return null;
        });
    }

    private long loadIdentity(RandomGenerator random) throws IOException {
        Optional<ByteBuffer> stored = DurableFiles.read(folder, IDENTITY_FILE);
        if (stored.isPresent()) {
            return stored.get().getLong();
        }
        List<String> names = folder.names();
        boolean holdsData = names.contains(VOTE_FILE)
                || names.contains(SNAPSHOT_FILE)
                || !segmentFiles().isEmpty();
        if (holdsData) {
            throw DurableFiles.corrupt(folder, IDENTITY_FILE, "is missing from a folder that holds data");
        }
        long created = random.nextLong(1, Long.MAX_VALUE);
        DurableFiles.replace(
                folder,
                IDENTITY_FILE,
                ByteBuffer.allocate(Long.BYTES).putLong(created).array());
        return created;
    }

    private List<String> segmentFiles() throws IOException {
        return folder.names().stream().filter(Segment::isSegment).sorted().toList();
    }

    /** Deletes the files of interrupted writes, which also frees their space. */
    private void deleteLeftovers() throws IOException {
        List<String> used = segments.stream().map(Segment::name).toList();
        for (String name : folder.names()) {
            boolean unusedSegment = Segment.isSegment(name) && !used.contains(name);
            if (unusedSegment || DurableFiles.isTemporary(name)) {
                folder.delete(name);
            }
        }
    }

    /**
     * Writes and syncs the last frame and the vote again. These are what a process that was killed, or a failed sync,
     * may have left in the page cache alone. Before they count, they must be on the disk.
     */
    private void rewriteUnsyncedState() throws IOException {
        for (int number = segments.size() - 1; number >= 0; number--) {
            segments.get(number).rewriteLastFrame();
            if (segments.get(number).size() > 0) {
                break;
            }
        }
        if (folder.names().contains(VOTE_FILE)) {
            DurableFiles.replace(folder, VOTE_FILE, encodeVote(vote));
        } else {
            folder.sync();
        }
    }

    private boolean loadSegments() throws IOException {
        baseIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
        List<String> files = segmentFiles();
        boolean torn = false;
        for (String file : files) {
            Segment segment = Segment.open(folder, file);
            segments.add(segment);
            boolean isLastSegment = segments.size() == files.size();
            torn = segment.load(incarnation, isLastSegment, (frame, offset) -> replay(file, segment, frame, offset));
        }
        return torn;
    }

    /** Applies a frame read at startup: skips records covered by the snapshot and repeats truncations. */
    private void replay(String file, Segment segment, LogFrame frame, long offset) {
        if (!frame.isTruncation() && frame.lastIndex() > baseIndex && frame.firstIndex() > lastIndex() + 1) {
            throw DurableFiles.corrupt(
                    folder, file, String.format("has record %d after record %d", frame.firstIndex(), lastIndex()));
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
            folder.sync();
        }
    }

    private void write(WriteAction action) {
        if (failed) {
            throw new BasilrillException(ErrorCode.DISK_FAILED, "an earlier write to " + folder.path() + " failed");
        }
        failed = true;
        DurableFiles.run(() -> {
            action.run();
            return null;
        });
        failed = false;
    }

    /** Replaces a snapshot whose saving failed by the last one that was saved. */
    private void restoreSnapshot() throws IOException {
        if (!snapshotUncertain) {
            return;
        }
        if (snapshot.isPresent()) {
            DurableFiles.replace(folder, SNAPSHOT_FILE, encodeSnapshot(snapshot.get()));
        } else {
            folder.delete(SNAPSHOT_FILE);
            folder.sync();
        }
        snapshotUncertain = false;
    }

    private static byte[] encodeSnapshot(Snapshot encoded) {
        return ByteBuffer.allocate(2 * Long.BYTES + Integer.BYTES + encoded.members().length + encoded.state().length)
                .putLong(encoded.lastIndex())
                .putLong(encoded.lastTerm())
                .putInt(encoded.members().length)
                .put(encoded.members())
                .put(encoded.state())
                .array();
    }

    private static byte[] encodeVote(Vote encoded) {
        byte[] candidate = encoded.votedFor().orElse("").getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(Long.BYTES + candidate.length)
                .putLong(encoded.term())
                .put(candidate)
                .array();
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
