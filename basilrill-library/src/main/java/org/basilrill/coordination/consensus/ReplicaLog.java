package org.basilrill.coordination.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.log.DurableStore;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Snapshot;

/**
 * The log of one replica: the durable records, cached in memory, and the member sets they contain. Some records covered
 * by the last snapshot stay in memory, so that followers that lag slightly need no snapshot. Not thread safe.
 */
final class ReplicaLog {
    /** Result of {@link #termAt} for an index whose record is not in memory. */
    static final long UNKNOWN_TERM = -1;

    /** Limits the memory of retained records, whose payload may be 64 KiB each. */
    private static final long RETAINED_BYTES = 1 << 20;

    private static final int RECOVERY_READ_BYTES = 1 << 20;

    private final DurableStore store;
    private final int retainedEntries;
    private final ArrayList<LogRecord> entries = new ArrayList<>();
    private final TreeMap<Long, MemberSet> memberSets = new TreeMap<>();
    private long baseIndex;
    private long baseTerm;
    private Optional<Snapshot> snapshot;

    ReplicaLog(DurableStore store, int retainedEntries) {
        this.store = store;
        this.retainedEntries = retainedEntries;
        snapshot = store.snapshot();
        snapshot.ifPresent(this::resetTo);
        while (lastIndex() < store.lastIndex()) {
            store.read(lastIndex() + 1, RECOVERY_READ_BYTES).forEach(this::addToMemory);
        }
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** Returns the index before the first record in memory. */
    long baseIndex() {
        return baseIndex;
    }

    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        boolean present = index > baseIndex && index <= lastIndex();
        return present ? get(index).term() : UNKNOWN_TERM;
    }

    LogRecord get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns the index after which the leader retries if the record at the index is missing or has another term. */
    Optional<Long> retryAfter(long previousIndex, long previousTerm) {
        if (previousIndex > lastIndex()) {
            return Optional.of(lastIndex());
        }
        boolean differs = previousIndex > baseIndex && termAt(previousIndex) != previousTerm;
        return differs ? Optional.of(firstOfTermAt(previousIndex) - 1) : Optional.empty();
    }

    /** Returns the lowest index of the unbroken run of records that share the term of the record at the index. */
    private long firstOfTermAt(long index) {
        long term = termAt(index);
        long first = index;
        while (first - 1 > baseIndex && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    List<LogRecord> slice(long fromIndex, int maximumBytes) {
        List<LogRecord> slice = new ArrayList<>();
        long bytes = 0;
        for (long index = fromIndex; index <= lastIndex(); index++) {
            LogRecord next = get(index);
            bytes += next.payload().length;
            if (!slice.isEmpty() && bytes > maximumBytes) {
                return slice;
            }
            slice.add(next);
        }
        return slice;
    }

    /** Appends and syncs the records. */
    void append(List<LogRecord> records) {
        if (records.isEmpty()) {
            return;
        }
        store.append(records);
        records.forEach(this::addToMemory);
    }

    void truncateFrom(long index) {
        if (index > lastIndex()) {
            return;
        }
        store.truncateFrom(index);
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        memberSets.tailMap(index, true).clear();
    }

    /** Returns the latest member set, which is in effect whether or not it is committed. */
    MemberSet members() {
        return memberSets.isEmpty() ? MemberSet.empty() : memberSets.lastEntry().getValue();
    }

    /** Returns the index of the record that contains the latest member set. */
    long membersIndex() {
        return memberSets.isEmpty() ? 0 : memberSets.lastKey();
    }

    Optional<Snapshot> snapshot() {
        return snapshot;
    }

    /**
     * Saves the state after the record at the index and discards the records that the snapshot covers, except the
     * retained ones.
     */
    Snapshot saveSnapshot(long index, byte[] state) {
        MemberSet members = memberSets.floorEntry(index).getValue();
        Snapshot taken = new Snapshot(index, termAt(index), members.encode(), state);
        store.saveSnapshot(taken);
        snapshot = Optional.of(taken);
        discardCoveredRecords(index);
        return taken;
    }

    /** Replaces the log up to the snapshot by one received from the leader. */
    void install(Snapshot received) {
        boolean matchesLog = termAt(received.lastIndex()) == received.lastTerm();
        if (!matchesLog) {
            // Keeps the records before the snapshot until it is saved: they may be committed with this replica in the
            // majority.
            truncateFrom(Math.max(received.lastIndex(), baseIndex + 1));
        }
        store.saveSnapshot(received);
        snapshot = Optional.of(received);
        List<LogRecord> kept = matchesLog ? slice(received.lastIndex() + 1, Integer.MAX_VALUE) : List.of();
        List<LogRecord> copy = List.copyOf(kept);
        resetTo(received);
        copy.forEach(this::addToMemory);
    }

    private void resetTo(Snapshot start) {
        entries.clear();
        memberSets.clear();
        baseIndex = start.lastIndex();
        baseTerm = start.lastTerm();
        memberSets.put(baseIndex, MemberSet.decode(start.members()));
    }

    private void addToMemory(LogRecord added) {
        if (added.index() != lastIndex() + 1) {
            throw new BasilrillException(
                    ErrorCode.LOG_CORRUPT,
                    String.format("found record %d after record %d", added.index(), lastIndex()));
        }
        entries.add(added);
        if (added.kind() == RecordKind.MEMBERS) {
            memberSets.put(added.index(), MemberSet.decode(added.payload()));
        }
    }

    private void discardCoveredRecords(long snapshotIndex) {
        long newBase = snapshotIndex;
        long bytes = 0;
        while (newBase > baseIndex && snapshotIndex - newBase < retainedEntries) {
            bytes += get(newBase).payload().length;
            if (bytes > RETAINED_BYTES) {
                break;
            }
            newBase--;
        }
        if (newBase == baseIndex) {
            return;
        }
        baseTerm = termAt(newBase);
        entries.subList(0, (int) (newBase - baseIndex)).clear();
        baseIndex = newBase;
        long oldestNeeded = memberSets.floorKey(newBase) == null ? newBase : memberSets.floorKey(newBase);
        memberSets.headMap(oldestNeeded, false).clear();
    }

    /** Appends the leader's records that are missing here, and replaces uncommitted records that differ. */
    void appendMissing(List<LogRecord> received, long commitIndex) {
        List<LogRecord> missing = new ArrayList<>();
        for (LogRecord candidate : received) {
            long index = candidate.index();
            boolean present = index <= baseIndex() || (missing.isEmpty() && termAt(index) == candidate.term());
            if (present) {
                continue;
            }
            if (missing.isEmpty() && index <= lastIndex()) {
                requireUncommitted(index, commitIndex);
                truncateFrom(index);
            }
            missing.add(candidate);
        }
        append(missing);
    }

    private static void requireUncommitted(long index, long commitIndex) {
        if (index <= commitIndex) {
            throw new BasilrillException(
                    ErrorCode.MESSAGE_MALFORMED,
                    String.format("the leader tried to replace record %d, which is committed on this replica", index));
        }
    }
}
