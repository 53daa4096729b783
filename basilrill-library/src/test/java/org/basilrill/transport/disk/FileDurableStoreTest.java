package org.basilrill.transport.disk;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Snapshot;
import org.basilrill.state.log.DurableStore.Vote;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the file store across restarts and with corrupt files. */
class FileDurableStoreTest {
    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final byte[] MEMBERS = "members".getBytes(StandardCharsets.UTF_8);

    @TempDir
    private Path root;

    private Path folder;

    @BeforeEach
    void setFolder() {
        folder = root.resolve("log");
    }

    /** Guards against an incarnation that changes, or is the same in two folders. */
    @Test
    void theIncarnationBelongsToTheFolder() {
        long first = incarnation(folder, 1);
        assertThat(incarnation(folder, 2), is(first));
        assertThat(incarnation(root.resolve("other"), 3), is(not(first)));
    }

    /** Guards against two stores that write to the same folder. */
    @Test
    void aFolderInUseIsRefused() {
        try (FileDurableStore store = open()) {
            assertThat(store.lastIndex(), is(0L));
            assertThat(openErrorCode(), is(ErrorCode.DISK_FAILED));
        }
    }

    /** Guards against the loss of records, votes or truncations when a process restarts after hundreds of changes. */
    @Test
    void everythingSurvivesARestartAfterHundredsOfRecords() {
        List<LogRecord> expected = new ArrayList<>();
        for (int restart = 0; restart < 10; restart++) {
            try (FileDurableStore store = open()) {
                assertThat(describe(store.read(1, UNLIMITED)), is(describe(expected)));
                for (int group = 0; group < 30; group++) {
                    List<LogRecord> added = records(store.lastIndex() + 1, 1 + group % 5, restart + 1, 50);
                    store.append(added);
                    expected.addAll(added);
                }
                long removed = store.lastIndex() - 7;
                store.truncateFrom(removed);
                expected.removeIf(logged -> logged.index() >= removed);
                store.saveVote(new Vote(restart + 1, Optional.of("candidate-" + restart)));
            }
        }
        try (FileDurableStore store = open()) {
            assertThat(describe(store.read(1, UNLIMITED)), is(describe(expected)));
            assertThat(store.vote(), is(new Vote(10, Optional.of("candidate-9"))));
            assertThat(store.tornTailRemoved(), is(false));
        }
    }

    /**
     * Guards against a torn write that is rejected, or whose removal also removes earlier records, at every possible
     * length.
     */
    @Test
    void aTornLastWriteIsRemovedWhereverItWasCut() throws IOException {
        long intact;
        try (FileDurableStore store = open()) {
            store.append(records(1, 5, 1, 20));
            intact = Files.size(onlySegment());
            store.append(records(6, 3, 1, 20));
        }
        byte[] complete = Files.readAllBytes(onlySegment());
        for (int length = (int) intact + 1; length < complete.length; length++) {
            Files.write(onlySegment(), Arrays.copyOf(complete, length));
            try (FileDurableStore store = open()) {
                assertThat(store.tornTailRemoved(), is(true));
                assertThat(describe(store.read(1, UNLIMITED)), is(describe(records(1, 5, 1, 20))));
                store.append(records(6, 1, 2, 5));
            }
            try (FileDurableStore store = open()) {
                assertThat(store.lastIndex(), is(6L));
            }
        }
    }

    /** Guards against treating a torn write as corruption if only its middle pages did not reach the disk. */
    @Test
    void aLastWriteWithAHoleIsRemovedAsAWhole() throws IOException {
        long intact;
        try (FileDurableStore store = open()) {
            store.append(records(1, 5, 1, 20));
            intact = Files.size(onlySegment());
            store.append(records(6, 20, 1, 100));
        }
        zero(onlySegment(), intact + 60, 100);
        try (FileDurableStore store = open()) {
            assertThat(store.lastIndex(), is(5L));
        }
    }

    /** Guards against treating corruption before valid records as a torn write, whichever byte is affected. */
    @Test
    void aCorruptRecordBeforeAValidOneIsRefused() throws IOException {
        try (FileDurableStore store = open()) {
            store.append(records(1, 2, 1, 10));
            store.append(records(3, 1, 1, 10));
        }
        byte[] complete = Files.readAllBytes(onlySegment());
        int firstFrame = LogFrame.encodedBytes(ByteBuffer.wrap(complete), 0);
        for (int damaged = 0; damaged < firstFrame; damaged++) {
            byte[] changed = complete.clone();
            changed[damaged] ^= 0x10;
            Files.write(onlySegment(), changed);
            assertThat("byte " + damaged, openErrorCode(), is(ErrorCode.LOG_CORRUPT));
        }
    }

    /**
     * Guards against accepting a corrupt vote, snapshot or identity, or treating a missing identity as a new folder.
     */
    @Test
    void damagedFilesAreRefused() throws IOException {
        try (FileDurableStore store = open()) {
            store.append(records(1, 3, 1, 10));
            store.saveVote(new Vote(4, Optional.empty()));
            store.saveSnapshot(new Snapshot(2, 1, MEMBERS, new byte[100]));
        }
        for (String name : List.of("vote", "snapshot", "identity")) {
            byte[] intact = Files.readAllBytes(folder.resolve(name));
            byte[] changed = intact.clone();
            changed[changed.length - 1] ^= 1;
            Files.write(folder.resolve(name), changed);
            assertThat(name, openErrorCode(), is(ErrorCode.LOG_CORRUPT));
            Files.write(folder.resolve(name), intact);
        }
        Files.delete(folder.resolve("identity"));
        assertThat(openErrorCode(), is(ErrorCode.LOG_CORRUPT));
    }

    /** Guards against a log that grows without limit, or that loses the records after a snapshot. */
    @Test
    void aSnapshotDropsTheRecordsItCovers() throws IOException {
        try (FileDurableStore store = open()) {
            for (int group = 0; group < 20; group++) {
                store.append(records(store.lastIndex() + 1, 10, 1, 100 << 10));
            }
            store.saveSnapshot(new Snapshot(195, 1, MEMBERS, new byte[] {1, 2, 3}));
            assertThat(store.read(1, UNLIMITED), hasSize(5));
        }
        assertThat(folderBytes(), is(lessThan(8L << 20)));
        try (FileDurableStore store = open()) {
            assertThat(store.snapshot().orElseThrow().state(), is(new byte[] {1, 2, 3}));
            assertThat(store.lastIndex(), is(200L));
            assertThat(store.read(1, 1).get(0).index(), is(196L));
        }
    }

    /** Guards against a gap in the log after a received snapshot, which the next start would treat as corruption. */
    @Test
    void recordsCanBeAppendedAfterASnapshotFromTheLeader() {
        try (FileDurableStore store = open()) {
            store.append(records(1, 120, 1, 10));
            store.truncateFrom(100);
            store.saveSnapshot(new Snapshot(100, 2, MEMBERS, new byte[0]));
            store.append(records(101, 2, 2, 10));
        }
        try (FileDurableStore store = open()) {
            assertThat(store.lastIndex(), is(102L));
            store.saveSnapshot(new Snapshot(500, 3, MEMBERS, new byte[0]));
            store.append(records(501, 1, 3, 10));
        }
        try (FileDurableStore store = open()) {
            assertThat(store.lastIndex(), is(501L));
            assertThat(describe(store.read(1, UNLIMITED)), is(describe(records(501, 1, 3, 10))));
        }
    }

    /** Guards against accepting a log from whose middle a segment is missing. */
    @Test
    void aMissingSegmentIsRefused() throws IOException {
        try (FileDurableStore store = open()) {
            for (int group = 0; group < 15; group++) {
                store.append(records(store.lastIndex() + 1, 10, 1, 100 << 10));
            }
        }
        Files.delete(segments().get(1));
        assertThat(openErrorCode(), is(ErrorCode.LOG_CORRUPT));
    }

    private FileDurableStore open() {
        return FileDurableStore.open(folder, new Random(7));
    }

    private static long incarnation(Path folder, long seed) {
        try (FileDurableStore store = FileDurableStore.open(folder, new Random(seed))) {
            return store.incarnation();
        }
    }

    private ErrorCode openErrorCode() {
        return assertThrows(BasilrillException.class, () -> open().close()).code();
    }

    private static List<LogRecord> records(long first, int count, long term, int bytes) {
        return LongStream.range(first, first + count)
                .mapToObj(index -> {
                    byte[] payload = new byte[bytes];
                    new Random(index * 31 + term).nextBytes(payload);
                    return new LogRecord(index, term, RecordKind.COMMAND, payload);
                })
                .toList();
    }

    private static List<String> describe(List<LogRecord> records) {
        return records.stream()
                .map(logged -> String.format(
                        "%d %d %s %s", logged.index(), logged.term(), logged.kind(), Arrays.hashCode(logged.payload())))
                .toList();
    }

    private List<Path> segments() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> Segment.isSegment(file.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }

    private Path onlySegment() throws IOException {
        List<Path> segments = segments();
        assertThat(segments, hasSize(1));
        return segments.get(0);
    }

    private long folderBytes() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        }
    }

    private static void zero(Path file, long offset, int length) throws IOException {
        try (RandomAccessFile access = new RandomAccessFile(file.toFile(), "rw")) {
            access.seek(offset);
            access.write(new byte[length]);
        }
    }
}
