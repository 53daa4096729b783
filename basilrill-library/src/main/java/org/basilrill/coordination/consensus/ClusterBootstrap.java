package org.basilrill.coordination.consensus;

import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.consensus.ConsensusMessage.FoundRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.FoundResponse;
import org.basilrill.coordination.consensus.ConsensusMessage.StoreState;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Vote;

/**
 * Forms a new cluster. The founding replica with the lowest name first queries whether the stores of all others are
 * empty. Once all of them are empty in one round, it requests that each replica reserve its store by a durable vote in
 * term 1. Only then does it write the first member set. A founded cluster therefore leaves a durable vote on every
 * founding replica, so no second cluster can form unless all of them are wiped. Not thread safe.
 */
final class ClusterBootstrap {
    private static final long FIRST_TERM = 1;

    private final ReplicaState state;
    private final SortedSet<InstanceId> founders;
    private final Map<InstanceId, ReplicaId> acceptingFounders = new TreeMap<>();
    private long round;
    private long nextRoundAt;
    private boolean reserving;
    private boolean refusalReported;

    ClusterBootstrap(ReplicaState state, SortedSet<InstanceId> founders) {
        this.state = state;
        this.founders = founders;
    }

    /**
     * Starts the next round of found requests if it is due and this replica is responsible for founding the cluster.
     */
    void tick() {
        if (!isFoundingAllowed() || state.now() < nextRoundAt) {
            return;
        }
        nextRoundAt = state.now() + state.settings().minimumElectionTimeout().toNanos();
        round++;
        if (!reserving) {
            acceptingFounders.clear();
        }
        sendFoundRequests();
        advanceIfAllAccepted();
    }

    /** Responds to the found request of another founding replica. */
    void foundRequestReceived(ReplicaId from, FoundRequest request) {
        boolean senderIsLowest = !founders.isEmpty() && founders.first().equals(from.instance());
        StoreState storeState = senderIsLowest ? storeState(from) : StoreState.IN_USE;
        if (request.reserve() && storeState == StoreState.EMPTY) {
            state.voteFor(FIRST_TERM, from);
            storeState = StoreState.RESERVED_FOR_SENDER;
        }
        state.send(from, new FoundResponse(request.round(), storeState));
    }

    void foundResponseReceived(ReplicaId from, FoundResponse response) {
        if (!isFoundingAllowed() || response.round() != round || !founders.contains(from.instance())) {
            return;
        }
        if (response.state() == StoreState.IN_USE) {
            foundingRefused(from);
            return;
        }
        if (reserving && response.state() == StoreState.EMPTY) {
            return;
        }
        acceptingFounders.put(from.instance(), from);
        advanceIfAllAccepted();
    }

    private boolean isFoundingAllowed() {
        return !founders.isEmpty()
                && founders.first().equals(state.self().instance())
                && storeState(state.self()) != StoreState.IN_USE;
    }

    private StoreState storeState(ReplicaId founder) {
        Vote vote = state.vote();
        if (state.log().lastIndex() > 0) {
            return StoreState.IN_USE;
        }
        if (vote.term() == 0) {
            return StoreState.EMPTY;
        }
        boolean reserved = vote.term() == FIRST_TERM
                && vote.votedFor().filter(founder.toString()::equals).isPresent();
        return reserved ? StoreState.RESERVED_FOR_SENDER : StoreState.IN_USE;
    }

    private void sendFoundRequests() {
        founders.stream()
                .filter(founder -> !founder.equals(state.self().instance()))
                .forEach(founder -> state.sendToAnyIncarnation(founder, new FoundRequest(round, reserving)));
    }

    private void advanceIfAllAccepted() {
        if (acceptingFounders.size() < founders.size() - 1) {
            return;
        }
        if (reserving || founders.size() == 1) {
            foundCluster();
            return;
        }
        reserving = true;
        acceptingFounders.clear();
        round++;
        sendFoundRequests();
    }

    private void foundCluster() {
        state.voteFor(FIRST_TERM, state.self());
        SortedSet<ReplicaId> voters = new TreeSet<>(acceptingFounders.values());
        voters.add(state.self());
        MemberSet members = new MemberSet(voters);
        state.log().append(List.of(new LogRecord(1, FIRST_TERM, RecordKind.MEMBERS, members.encode())));
        state.report(LogEvent.CLUSTER_FOUNDED, members.toString());
    }

    private void foundingRefused(ReplicaId refusingReplica) {
        reserving = false;
        acceptingFounders.clear();
        if (!refusalReported) {
            refusalReported = true;
            state.report(LogEvent.FOUNDING_REFUSED, refusingReplica + " has a store that is not empty");
        }
    }
}
