package org.basilrill.coordination.consensus;

import java.util.Set;
import java.util.TreeSet;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteAnswer;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteRequest;

/**
 * Votes collected by one candidate in one round: first promises (pre-vote), which change no state anywhere, then votes.
 * Not thread safe.
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

    /** Asks for promises of votes in the next term. */
    static Election preVote(ReplicaState state) {
        return new Election(state, true, state.term() + 1, false);
    }

    /** Enters the next term, votes for this replica and asks for votes. */
    static Election vote(ReplicaState state) {
        return vote(state, false);
    }

    /** As {@link #vote}, without a pre-vote, as the leader has handed its leadership to this replica. */
    static Election voteAfterHandover(ReplicaState state) {
        return vote(state, true);
    }

    boolean isPreVote() {
        return preVote;
    }

    void answered(ReplicaId voter, VoteAnswer answer) {
        if (answer.granted() && answer.preVote() == preVote && answer.term() == term) {
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
