package org.basilrill.coordination.consensus;

import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.consensus.ConsensusMessage.FoundAnswer;
import org.basilrill.coordination.consensus.ConsensusMessage.FoundRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.StoreState;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Vote;

/**
 * Forms a new cluster. The founding replica with the lowest name first asks all others whether their stores are empty.
 * Once all say so in one round, it has each of them reserve its store, by a durable vote in term 1, and only then
 * writes the first member set. A founded cluster therefore leaves a mark on every founding replica, and no second one
 * forms unless all of them are wiped. Not thread safe.
 */
final class ClusterBootstrap {
    private static final long FIRST_TERM = 1;

    private final ReplicaState state;
    private final SortedSet<InstanceId> founders;
    private final Map<InstanceId, ReplicaId> agreed = new TreeMap<>();
    private long round;
    private long nextRoundAt;
    private boolean reserving;
    private boolean refusalReported;

    ClusterBootstrap(ReplicaState state, SortedSet<InstanceId> founders) {
        this.state = state;
        this.founders = founders;
    }

    /** Begins the next round of questions when due and while this replica is the one to found the cluster. */
    void tick() {
        if (!mayFound() || state.now() < nextRoundAt) {
            return;
        }
        nextRoundAt = state.now() + state.settings().minimumElectionTimeout().toNanos();
        round++;
        if (!reserving) {
            agreed.clear();
        }
        ask();
        proceed();
    }

    /** Answers the question of another founding replica. */
    void asked(ReplicaId from, FoundRequest request) {
        boolean lowest = !founders.isEmpty() && founders.first().equals(from.instance());
        StoreState storeState = lowest ? storeState(from) : StoreState.IN_USE;
        if (request.grant() && storeState == StoreState.EMPTY) {
            state.voteFor(FIRST_TERM, from);
            storeState = StoreState.RESERVED_FOR_SENDER;
        }
        state.send(from, new FoundAnswer(request.round(), storeState));
    }

    void answered(ReplicaId from, FoundAnswer answer) {
        if (!mayFound() || answer.round() != round || !founders.contains(from.instance())) {
            return;
        }
        if (answer.state() == StoreState.IN_USE) {
            refused(from);
            return;
        }
        if (reserving && answer.state() == StoreState.EMPTY) {
            return;
        }
        agreed.put(from.instance(), from);
        proceed();
    }

    private boolean mayFound() {
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

    private void ask() {
        founders.stream()
                .filter(founder -> !founder.equals(state.self().instance()))
                .forEach(founder -> state.sendToAnyIncarnation(founder, new FoundRequest(round, reserving)));
    }

    private void proceed() {
        if (agreed.size() < founders.size() - 1) {
            return;
        }
        if (reserving || founders.size() == 1) {
            found();
            return;
        }
        reserving = true;
        agreed.clear();
        round++;
        ask();
    }

    private void found() {
        state.voteFor(FIRST_TERM, state.self());
        SortedSet<ReplicaId> voters = new TreeSet<>(agreed.values());
        voters.add(state.self());
        MemberSet members = new MemberSet(voters);
        state.log().append(List.of(new LogRecord(1, FIRST_TERM, RecordKind.MEMBERS, members.encode())));
        state.report(LogEvent.CLUSTER_FOUNDED, members.toString());
    }

    private void refused(ReplicaId by) {
        reserving = false;
        agreed.clear();
        if (!refusalReported) {
            refusalReported = true;
            state.report(LogEvent.FOUNDING_REFUSED, by + " holds data");
        }
    }
}
