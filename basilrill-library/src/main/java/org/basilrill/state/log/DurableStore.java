package org.basilrill.state.log;

import java.util.List;
import java.util.Optional;

/**
 * Durable storage of a replica: its term and vote, log records and snapshot. A write is synced when its method returns.
 * Called by one thread at a time. Every method throws {@link org.basilrill.api.BasilrillException}, with
 * {@code DISK_FAILED} when the medium fails and with {@code LOG_CORRUPT} when stored records are damaged other than by
 * a torn tail.
 */
public interface DurableStore {
    /** Returns the random incarnation number that was created with the data folder. */
    long incarnation();

    /** Returns the last saved term and vote. */
    Vote vote();

    /** Saves term and vote. */
    void saveVote(Vote vote);

    /** Appends records after the last one, with one sync for all of them. */
    void append(List<LogRecord> records);

    /** Removes the record at the index and all after it. */
    void truncateFrom(long index);

    /** Returns the records from the index on, at most {@code maximumBytes} of payload but at least one if present. */
    List<LogRecord> read(long fromIndex, int maximumBytes);

    /** Returns the index of the last record, or that of the snapshot if no record follows it; 0 when empty. */
    long lastIndex();

    /** Returns the last saved snapshot. */
    Optional<Snapshot> snapshot();

    /** Saves a snapshot and drops the records it covers. */
    void saveSnapshot(Snapshot snapshot);

    /**
     * One record of the log.
     *
     * @param index position, 1 for the first
     * @param term term of the leader that created it
     * @param kind what the payload holds
     * @param payload encoded command or member set
     */
    record LogRecord(long index, long term, RecordKind kind, byte[] payload) {}

    /** What a record holds. */
    enum RecordKind {
        COMMAND,
        MEMBERS,
        NO_OPERATION
    }

    /**
     * Term and vote of a replica.
     *
     * @param votedFor encoded identity of the candidate, empty if none
     */
    record Vote(long term, Optional<String> votedFor) {}

    /**
     * State of the state machine after a record, with the member set in force at that record.
     *
     * @param members encoded member set
     * @param state encoded state of the state machine
     */
    record Snapshot(long lastIndex, long lastTerm, byte[] members, byte[] state) {}
}
