package org.basilrill.transport.disk;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.oneOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.log.DurableStore;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Snapshot;
import org.basilrill.state.log.DurableStore.Vote;
import org.basilrill.state.log.InMemoryDurableStore;

/** Fails the changes of a simulated disk one after the other, with losses of power and ends of the process between. */
class FileDurableStoreFailureTest {
    private static final int STEPS = 60;
    private static final Random INCARNATIONS = new Random(1);

    /**
     * Guards against a store that loses what it acknowledged, that keeps a vote or record whose write failed, or that
     * stays read-only once the disk has room.
     */
    @Property(seed = "20261205", tries = 3_000)
    void whatWasAcknowledgedSurvivesFailuresAndLossesOfPower(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedDisk disk = new SimulatedDisk(random.nextLong());
        FileDurableStore store = disk.open(INCARNATIONS);
        InMemoryDurableStore expected = new InMemoryDurableStore(1);
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(3) == 0) {
                disk.failAfter(random.nextInt(8));
            }
            InMemoryDurableStore changed = expected.copy();
            Consumer<DurableStore> change = randomChange(expected, random);
            change.accept(changed);
            boolean acknowledged = succeeds(change, store);
            if (acknowledged) {
                expected = changed;
            }
            boolean recovered = !acknowledged && recovers(disk, store, random);
            if (!acknowledged && !recovered || random.nextInt(4) == 0) {
                store = reopen(disk, random);
            }
            // A snapshot that is saved stays, even if the records that it covers could not be deleted.
            boolean snapshotSaved = !indexOfSnapshot(store).equals(indexOfSnapshot(expected));
            if (!acknowledged && (!recovered || snapshotSaved)) {
                assertThat(describe(store), oneOf(describe(expected), describe(changed)));
                expected = describe(store).equals(describe(changed)) ? changed : expected;
            }
            assertThat(describe(store), is(describe(expected)));
        }
    }

    /** Guards against a store that accepts a write after a failed one whose remains were not removed. */
    @Example
    void aStoreStaysReadOnlyUntilItHasRecovered() {
        SimulatedDisk disk = new SimulatedDisk(2);
        FileDurableStore store = disk.open(INCARNATIONS);
        disk.setFull(true);
        assertThrows(BasilrillException.class, () -> store.append(records(1, 1, 1)));
        assertThrows(BasilrillException.class, store::recover);
        disk.setFull(false);
        assertThrows(BasilrillException.class, () -> store.append(records(1, 1, 1)));
        store.recover();
        store.append(records(1, 1, 1));
        assertThat(store.lastIndex(), is(1L));
    }

    private static boolean succeeds(Consumer<DurableStore> change, FileDurableStore store) {
        try {
            change.accept(store);
            return true;
        } catch (BasilrillException exception) {
            assertThat(exception.code(), is(ErrorCode.DISK_FAILED));
            return false;
        }
    }

    /** Recovers the store in place in most cases, after further failures; returns whether it did. */
    private static boolean recovers(SimulatedDisk disk, FileDurableStore store, Random random) {
        while (random.nextInt(5) > 0) {
            if (random.nextInt(3) == 0) {
                disk.failAfter(random.nextInt(8));
            }
            if (succeeds(recovered -> store.recover(), store)) {
                return true;
            }
        }
        return false;
    }

    /** Opens the store after the end of the process or a loss of power, where opening it may fail first. */
    private static FileDurableStore reopen(SimulatedDisk disk, Random random) {
        while (true) {
            if (random.nextInt(2) == 0) {
                disk.losePower();
            }
            if (random.nextInt(3) == 0) {
                disk.failAfter(random.nextInt(8));
            }
            try {
                return disk.open(INCARNATIONS);
            } catch (BasilrillException exception) {
                assertThat(exception.code(), is(ErrorCode.DISK_FAILED));
            }
        }
    }

    private static Consumer<DurableStore> randomChange(InMemoryDurableStore current, Random random) {
        long last = current.lastIndex();
        long covered = current.snapshot().map(Snapshot::lastIndex).orElse(0L);
        int kind = random.nextInt(9);
        if (kind < 5) {
            List<LogRecord> added = records(last + 1, 1 + random.nextInt(4), random.nextInt(100));
            return store -> store.append(added);
        }
        if (kind < 7) {
            Vote vote = new Vote(random.nextInt(100), Optional.of("candidate-" + random.nextInt(9)));
            return store -> store.saveVote(vote);
        }
        if (kind == 7 && last > covered) {
            long from = random.nextLong(covered + 1, last + 1);
            return store -> store.truncateFrom(from);
        }
        Snapshot taken = new Snapshot(random.nextLong(covered, last + 3) + 1, 1, new byte[3], new byte[40]);
        return store -> store.saveSnapshot(taken);
    }

    private static List<LogRecord> records(long first, int count, int term) {
        return LongStream.range(first, first + count)
                .mapToObj(index -> new LogRecord(index, term, RecordKind.COMMAND, new byte[(int) (term % 30)]))
                .toList();
    }

    private static Optional<Long> indexOfSnapshot(DurableStore store) {
        return store.snapshot().map(Snapshot::lastIndex);
    }

    private static String describe(DurableStore store) {
        return store.vote() + " " + indexOfSnapshot(store) + " "
                + store.read(1, Integer.MAX_VALUE).stream()
                        .map(logged -> logged.index() + ":" + logged.term() + ":" + Arrays.hashCode(logged.payload()))
                        .toList();
    }
}
