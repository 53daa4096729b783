package org.basilrill.scaffold.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.state.log.DurableStore;

/**
 * An in-memory data folder. Its content survives a crash, as every write counts as synced. A wiped folder is simulated
 * by a new object. Not thread safe.
 */
public final class VirtualStore implements DurableStore {
    private final long incarnation;
    private final List<LogRecord> records = new ArrayList<>();
    private Vote vote = new Vote(0, Optional.empty());
    private Optional<Snapshot> snapshot = Optional.empty();

    public VirtualStore(long incarnation) {
        this.incarnation = incarnation;
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
        vote = saved;
    }

    @Override
    public void append(List<LogRecord> added) {
        records.addAll(added);
    }

    @Override
    public void truncateFrom(long index) {
        records.removeIf(stored -> stored.index() >= index);
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
                break;
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
        snapshot = Optional.of(saved);
        records.removeIf(stored -> stored.index() <= saved.lastIndex());
    }
}
