package org.basilrill.transport.disk;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Snapshot;
import org.basilrill.state.log.DurableStore.Vote;
import org.basilrill.state.log.InMemoryDurableStore;

/** Compares the file store with the in-memory store over random changes, restarts and torn writes. */
class FileDurableStoreFuzzTest {
    private static final int UNLIMITED = Integer.MAX_VALUE;

    /** Guards against sequences of changes and restarts after which the two stores differ. */
    @Property(seed = "20261204", tries = 60)
    void theFilesHoldWhatWasSynced(@ForAll long seed, @ForAll("steps") List<Integer> steps) throws IOException {
        Path folder = Files.createTempDirectory("basilrill-store");
        Random random = new Random(seed);
        InMemoryDurableStore expected = new InMemoryDurableStore(1);
        FileDurableStore store = FileDurableStore.open(folder, random);
        try {
            for (int step : steps) {
                if (step < 8) {
                    change(store, expected, step, random);
                } else {
                    store.close();
                    if (step == 9) {
                        appendTornWrite(folder, store.incarnation(), expected.lastIndex() + 1, random);
                    }
                    store = FileDurableStore.open(folder, random);
                    assertSame(store, expected);
                }
            }
            assertSame(store, expected);
        } finally {
            store.close();
            delete(folder);
        }
    }

    @Provide
    Arbitrary<List<Integer>> steps() {
        return Arbitraries.integers().between(0, 9).list().ofMinSize(10).ofMaxSize(80);
    }

    private static void change(FileDurableStore store, InMemoryDurableStore expected, int step, Random random) {
        long last = expected.lastIndex();
        long covered = expected.snapshot().map(Snapshot::lastIndex).orElse(0L);
        if (step < 4) {
            List<LogRecord> added = records(last + 1, 1 + random.nextInt(20), random);
            store.append(added);
            expected.append(added);
        } else if (step < 6 && last > covered) {
            long from = random.nextLong(covered + 1, last + 1);
            store.truncateFrom(from);
            expected.truncateFrom(from);
        } else if (step == 6) {
            Snapshot taken = new Snapshot(random.nextLong(covered + 1, last + 10), 1, new byte[3], new byte[step]);
            store.saveSnapshot(taken);
            expected.saveSnapshot(taken);
        } else {
            Vote vote = new Vote(random.nextInt(9), Optional.of("candidate").filter(name -> random.nextBoolean()));
            store.saveVote(vote);
            expected.saveVote(vote);
        }
    }

    private static void appendTornWrite(Path folder, long incarnation, long index, Random random) throws IOException {
        List<Path> segments;
        try (Stream<Path> files = Files.list(folder)) {
            segments = files.filter(file -> Segment.isSegment(file.getFileName().toString()))
                    .sorted()
                    .toList();
        }
        if (segments.isEmpty()) {
            return;
        }
        Path last = segments.get(segments.size() - 1);
        byte[] frame = new LogFrame(index, records(index, 5, random))
                .encode(incarnation)
                .array();
        byte[] content = Files.readAllBytes(last);
        byte[] torn = Arrays.copyOf(content, content.length + 1 + random.nextInt(frame.length - 1));
        System.arraycopy(frame, 0, torn, content.length, torn.length - content.length);
        Files.write(last, torn);
    }

    private static List<LogRecord> records(long first, int count, Random random) {
        return LongStream.range(first, first + count)
                .mapToObj(index -> {
                    byte[] payload = new byte[random.nextInt(150) == 0 ? 2 << 20 : random.nextInt(200)];
                    random.nextBytes(payload);
                    RecordKind kind = RecordKind.values()[random.nextInt(RecordKind.values().length)];
                    return new LogRecord(index, random.nextInt(9), kind, payload);
                })
                .toList();
    }

    private static void assertSame(FileDurableStore store, InMemoryDurableStore expected) {
        assertThat(store.lastIndex(), is(expected.lastIndex()));
        assertThat(store.vote(), is(expected.vote()));
        assertThat(describe(store.read(1, UNLIMITED)), is(describe(expected.read(1, UNLIMITED))));
        assertThat(
                store.snapshot().map(Snapshot::lastIndex),
                is(expected.snapshot().map(Snapshot::lastIndex)));
    }

    private static List<String> describe(List<LogRecord> records) {
        return records.stream()
                .map(logged -> logged.index() + " " + logged.term() + " " + logged.kind() + " "
                        + Arrays.hashCode(logged.payload()))
                .toList();
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
