package org.basilrill.state.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/**
 * A store whose contents exist as long as the object, so a test restarts a replica by passing it the same store. Its
 * next write can be made to fail, before or after the write takes effect. Not thread safe.
 */
public final class InMemoryDurableStore implements DurableStore {
    private final long incarnation;
    private final ArrayList<LogRecord> records = new ArrayList<>();
    private Vote vote = new Vote(0, Optional.empty());
    private Optional<Snapshot> snapshot = Optional.empty();
    private Optional<Boolean> failAfterEffect = Optional.empty();
    private Runnable undoFailedWrite = () -> {};

    private long largestWrite;

    public InMemoryDurableStore(long incarnation) {
        this.incarnation = incarnation;
    }

    /** Returns an independent store with the same content. */
    public InMemoryDurableStore copy() {
        InMemoryDurableStore copy = new InMemoryDurableStore(incarnation);
        copy.records.addAll(records);
        copy.vote = vote;
        copy.snapshot = snapshot;
        return copy;
    }

    /** Makes the next write throw an exception, after it took effect or without effect. */
    public void failNextWrite(boolean afterEffect) {
        failAfterEffect = Optional.of(afterEffect);
    }

    /** Returns the payload bytes of the largest write so far. */
    public long largestWrite() {
        return largestWrite;
    }

    /** Cancels a planned failure that no write has triggered yet. */
    public void repair() {
        failAfterEffect = Optional.empty();
    }

    /** Removes the effect of the last failed write, as a store does that becomes writable again in place. */
    public void recover() {
        repair();
        undoFailedWrite.run();
        undoFailedWrite = () -> {};
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
        write(() -> vote = saved);
    }

    @Override
    public void append(List<LogRecord> added) {
        largestWrite = Math.max(
                largestWrite,
                added.stream().mapToLong(next -> next.payload().length).sum());
        write(() -> {
            for (LogRecord next : added) {
                if (next.index() != lastIndex() + 1) {
                    throw new IllegalStateException("record " + next.index() + " after " + lastIndex());
                }
                records.add(next);
            }
        });
    }

    @Override
    public void truncateFrom(long index) {
        write(() -> records.removeIf(stored -> stored.index() >= index));
    }

    @Override
    public List<LogRecord> read(long fromIndex, int maximumBytes) {
        List<LogRecord> found = new ArrayList<>();
        long bytes = 0;
        for (LogRecord stored : records) {
            if (stored.index() < fromIndex) {
                continue;
            }
            bytes += stored.payload().length;
            if (!found.isEmpty() && bytes > maximumBytes) {
                return found;
            }
            found.add(stored);
        }
        return found;
    }

    @Override
    public long lastIndex() {
        return records.isEmpty()
                ? snapshot.map(Snapshot::lastIndex).orElse(0L)
                : records.get(records.size() - 1).index();
    }

    @Override
    public Optional<Snapshot> snapshot() {
        return snapshot;
    }

    @Override
    public void saveSnapshot(Snapshot saved) {
        write(() -> {
            snapshot = Optional.of(saved);
            records.removeIf(stored -> stored.index() <= saved.lastIndex());
        });
    }

    private void write(Runnable effect) {
        if (failAfterEffect.isEmpty()) {
            effect.run();
            return;
        }
        List<LogRecord> recordsBefore = List.copyOf(records);
        Vote voteBefore = vote;
        Optional<Snapshot> snapshotBefore = snapshot;
        undoFailedWrite = () -> {
            records.clear();
            records.addAll(recordsBefore);
            vote = voteBefore;
            snapshot = snapshotBefore;
        };
        if (failAfterEffect.get()) {
            effect.run();
        }
        throw new BasilrillException(ErrorCode.DISK_FAILED, "failure planned by the test");
    }
}
