package org.basilrill.coordination.consensus;

import java.util.List;
import org.basilrill.state.log.DurableStore.LogRecord;

/** One message between replicas. Implementations are immutable records and thread safe. */
public sealed interface ConsensusMessage {
    /**
     * Asks for a vote in a term.
     *
     * @param term term of the election; not yet begun for a pre-vote
     * @param lastIndex index of the candidate's last record
     * @param lastTerm term of the candidate's last record
     * @param preVote whether only the promise of a vote is asked for
     * @param handedOver whether the leader told the candidate to stand, so that voters need not wait for its silence
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote, boolean handedOver)
            implements ConsensusMessage {
        /** Creates the request of a candidate that no longer hears the leader. */
        public VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote) {
            this(term, lastIndex, lastTerm, preVote, false);
        }
    }

    /**
     * Answers a request for a vote.
     *
     * @param term the term asked for if granted, otherwise the current term of the voter
     */
    record VoteAnswer(long term, boolean preVote, boolean granted) implements ConsensusMessage {}

    /**
     * Sends records, or none as a heartbeat.
     *
     * @param previousIndex index of the record before the first one sent
     * @param previousTerm term of that record
     * @param commitIndex commit index of the leader
     * @param round number of the quorum round
     */
    record AppendRequest(
            long term, long previousIndex, long previousTerm, long commitIndex, long round, List<LogRecord> entries)
            implements ConsensusMessage {}

    /**
     * Answers an append, or the last chunk of a snapshot.
     *
     * @param index last index known to match; after a mismatch, the index after which to try again
     * @param round round of the request
     */
    record AppendAnswer(long term, boolean matched, long index, long round) implements ConsensusMessage {}

    /**
     * Sends a part of a snapshot.
     *
     * @param lastIndex index of the last record the snapshot covers
     * @param members encoded member set
     * @param offset position of the data in the encoded state, in bytes
     * @param totalBytes length of the encoded state
     * @param round number of the quorum round
     */
    record SnapshotChunk(
            long term,
            long lastIndex,
            long lastTerm,
            byte[] members,
            long offset,
            long totalBytes,
            byte[] data,
            long round)
            implements ConsensusMessage {}

    /**
     * Answers a chunk that does not complete the snapshot.
     *
     * @param nextOffset position of the next chunk wanted, in bytes
     */
    record SnapshotAnswer(long term, long lastIndex, long nextOffset, long round) implements ConsensusMessage {}

    /**
     * Asks a founding replica whether its store is empty.
     *
     * @param grant whether to reserve an empty store for the sender's cluster
     */
    record FoundRequest(long round, boolean grant) implements ConsensusMessage {}

    /** Answers a question of the founding replica with the lowest name. */
    record FoundAnswer(long round, StoreState state) implements ConsensusMessage {}

    /**
     * Tells a follower that holds the whole log to stand for election at once.
     *
     * @param term term of the leader that hands over
     */
    record TimeoutNow(long term) implements ConsensusMessage {}

    /** Asks the leader to accept the sender as a learner. */
    record JoinRequest() implements ConsensusMessage {}

    /** What a founding replica reports of its store. */
    enum StoreState {
        EMPTY,
        RESERVED_FOR_SENDER,
        IN_USE
    }
}
