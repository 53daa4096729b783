package org.basilrill.coordination.consensus;

import java.util.List;
import org.basilrill.state.log.DurableStore.LogRecord;

/** A message between replicas. Implementations are immutable records and thread safe. */
public sealed interface ConsensusMessage {
    /**
     * Requests a vote in a term.
     *
     * @param term term of the election; not yet begun for a pre-vote
     * @param lastIndex index of the candidate's last record
     * @param lastTerm term of the candidate's last record
     * @param preVote whether this is a pre-vote, which changes no state on the voter
     * @param handedOver whether the leader handed its leadership over to the candidate; voters then ignore the lease of
     *     the leader
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote, boolean handedOver)
            implements ConsensusMessage {
        /** Creates the request of a candidate whose leader is unresponsive. */
        public VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote) {
            this(term, lastIndex, lastTerm, preVote, false);
        }
    }

    /**
     * Response to a vote request.
     *
     * @param term the requested term if granted, otherwise the current term of the voter
     */
    record VoteResponse(long term, boolean preVote, boolean granted) implements ConsensusMessage {}

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
     * Response to an append request, or to the last chunk of a snapshot.
     *
     * @param index last index known to match; after a mismatch, the index after which the leader retries
     * @param round round of the request
     */
    record AppendResponse(long term, boolean matched, long index, long round) implements ConsensusMessage {}

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
     * Response to a chunk that does not complete the snapshot.
     *
     * @param nextOffset position of the next expected chunk, in bytes
     */
    record SnapshotResponse(long term, long lastIndex, long nextOffset, long round) implements ConsensusMessage {}

    /**
     * Queries whether the store of a founding replica is empty.
     *
     * @param reserve whether to reserve an empty store for the sender's cluster
     */
    record FoundRequest(long round, boolean reserve) implements ConsensusMessage {}

    /** Response to a found request of the founding replica with the lowest name. */
    record FoundResponse(long round, StoreState state) implements ConsensusMessage {}

    /**
     * Instructs a follower with an up-to-date log to start an election immediately.
     *
     * @param term term of the leader that hands over its leadership
     */
    record TimeoutNow(long term) implements ConsensusMessage {}

    /** Requests that the leader accept the sender as a learner. */
    record JoinRequest() implements ConsensusMessage {}

    /** State of the store of a founding replica. */
    enum StoreState {
        EMPTY,
        RESERVED_FOR_SENDER,
        IN_USE
    }
}
