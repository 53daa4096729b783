package org.basilrill.coordination.consensus;

import java.time.Duration;

/**
 * Timers and sizes of the control log. Immutable and thread safe.
 *
 * @param heartbeat interval between messages of the leader
 * @param minimumElectionTimeout shortest silence of the leader before an election; also the time for which votes are
 *     refused after hearing from a leader
 * @param maximumElectionTimeout longest silence of the leader before an election; also the time after which a leader
 *     that hears from no majority steps down
 * @param joinInterval interval at which a replica outside the member set asks to join
 * @param learnerTimeout silence after which the leader forgets a learner
 * @param voterTimeout silence after which a voter makes way for a learner, or leaves an even number of voters
 * @param snapshotEntries applied records after which a snapshot is taken
 * @param snapshotBytes payload bytes of applied records after which a snapshot is taken
 * @param chunkBytes size of a part of a snapshot
 * @param appendBytes payload limit of one append, exceeded only by a single larger record
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

    /** Returns the values of section 4.1 of the design page. */
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

    /** Returns how many records behind the snapshot stay in memory for followers that are slightly behind. */
    int retainedEntries() {
        return snapshotEntries / 8;
    }
}
