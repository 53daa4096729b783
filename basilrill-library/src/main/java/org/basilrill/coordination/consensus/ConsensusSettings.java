package org.basilrill.coordination.consensus;

import java.time.Duration;

/**
 * Timers and sizes of the control log. Immutable and thread safe.
 *
 * @param heartbeat interval between heartbeats of the leader
 * @param minimumElectionTimeout minimum time without contact with the leader before an election; also the time for
 *     which votes are refused after contact with a leader
 * @param maximumElectionTimeout maximum time without contact with the leader before an election; also the time after
 *     which a leader without contact with a majority steps down
 * @param joinInterval interval between join requests of a replica outside the member set
 * @param learnerTimeout time without contact after which the leader removes a learner
 * @param voterTimeout time without contact after which a voter is replaced by a learner, or is removed from an even
 *     number of voters
 * @param snapshotEntries applied records after which a snapshot is taken
 * @param snapshotBytes payload bytes of applied records after which a snapshot is taken
 * @param chunkBytes size of a snapshot chunk
 * @param appendBytes payload limit of one append request, exceeded only by a single larger record
 */
public record ConsensusSettings(
        Duration heartbeat,
        Duration minimumElectionTimeout,
        Duration maximumElectionTimeout,
        Duration joinInterval,
        Duration learnerTimeout,
        Duration voterTimeout,
        int snapshotEntries,
        long snapshotBytes,
        int chunkBytes,
        int appendBytes) {

    /** Returns the default values, listed in section 4.1 of the design document. */
    public static ConsensusSettings standard() {
        return new ConsensusSettings(
                Duration.ofMillis(50),
                Duration.ofMillis(250),
                Duration.ofMillis(500),
                Duration.ofMillis(500),
                Duration.ofSeconds(5),
                Duration.ofSeconds(3),
                4096,
                8L << 20,
                64 << 10,
                256 << 10);
    }

    /** Returns how many records covered by the snapshot stay in memory for followers that lag slightly. */
    int retainedEntries() {
        return snapshotEntries / 8;
    }
}
