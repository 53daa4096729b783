package org.basilrill.coordination.consensus;

import java.util.Set;
import java.util.TreeSet;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteResponse;

/**
 * The votes granted to one candidate in one round, either a pre-vote or a vote. A pre-vote changes no state on any
 * replica. Not thread safe.
 */
final class Election {
    private final ReplicaState state;
    private final boolean preVote;
    private final long term;
    private final Set<ReplicaId> granted = new TreeSet<>();

    private Election(ReplicaState state, boolean preVote, long term, boolean handedOver) {
        this.state = state;
        this.preVote = preVote;
        this.term = term;
        granted.add(state.self());
        VoteRequest request =
                new VoteRequest(term, state.log().lastIndex(), state.log().lastTerm(), preVote, handedOver);
        state.log().members().voters().stream()
                .filter(voter -> !voter.equals(state.self()))
                .forEach(voter -> state.send(voter, request));
    }

    /** Requests pre-votes for the next term. */
    static Election preVote(ReplicaState state) {
        return new Election(state, true, state.term() + 1, false);
    }

    /** Enters the next term, votes for this replica and requests votes. */
    static Election vote(ReplicaState state) {
        return vote(state, false);
    }

    /** Starts an election like {@link #vote}, after the leader handed its leadership over; no pre-vote precedes it. */
    static Election voteAfterHandover(ReplicaState state) {
        return vote(state, true);
    }

    boolean isPreVote() {
        return preVote;
    }

    void voteReceived(ReplicaId voter, VoteResponse response) {
        if (response.granted() && response.preVote() == preVote && response.term() == term) {
            granted.add(voter);
        }
    }

    boolean isWon() {
        return state.log().members().isMajority(granted);
    }

    private static Election vote(ReplicaState state, boolean handedOver) {
        state.voteFor(state.term() + 1, state.self());
        return new Election(state, false, state.term(), handedOver);
    }
}
