package org.basilrill.coordination.consensus;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendResponse;
import org.basilrill.coordination.consensus.ConsensusMessage.FoundRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.FoundResponse;
import org.basilrill.coordination.consensus.ConsensusMessage.JoinRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotChunk;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotResponse;
import org.basilrill.coordination.consensus.ConsensusMessage.TimeoutNow;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteResponse;
import org.basilrill.state.log.DurableStore;
import org.basilrill.state.log.DurableStore.Snapshot;
import org.basilrill.state.log.ReplicatedStateMachine;

/**
 * One replica of the control log. The driver passes in messages, proposals, reads and ticks. After each group of them
 * it calls {@link #flush}, which syncs all queued proposals at once. The same inputs, clock and seed give the same
 * outputs. Not thread safe: called by one thread at a time. After an exception from the store the replica must not be
 * used further; once the store is writable again, {@link #resume} creates its successor.
 */
public final class Replica {
    private final ReplicaState state;
    private final JoinRequests joinRequests;
    private final ClusterBootstrap clusterBootstrap;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();
    private Optional<Leadership> leadership = Optional.empty();
    private Optional<Election> election = Optional.empty();
    private Optional<ReplicaId> leader = Optional.empty();
    private long lastLeaderContactAt;
    private long electionAt;

    /**
     * Recovers a replica from its store.
     *
     * @param founders instances named in the settings as founding replicas; empty if this one must not found a cluster
     * @param contacts instances that receive join requests of this one, in addition to the members it knows
     * @param machine state machine in its initial state; a stored snapshot is restored into it
     */
    public Replica(
            InstanceId self,
            Collection<InstanceId> founders,
            Collection<InstanceId> contacts,
            DurableStore store,
            ReplicatedStateMachine machine,
            ReplicaEnvironment environment,
            ConsensusSettings settings) {
        this(founders, contacts, new ReplicaState(self, store, machine, environment, settings, 0));
    }

    private Replica(Collection<InstanceId> founders, Collection<InstanceId> contacts, ReplicaState state) {
        this.state = state;
        this.joinRequests = new JoinRequests(state, contacts);
        this.clusterBootstrap = new ClusterBootstrap(state, new TreeSet<>(founders));
        // The replica may have had contact with the leader just before a restart, so it refuses votes as if it had.
        lastLeaderContactAt = state.now();
        resetElectionTimer();
    }

    /**
     * Creates the successor of a replica of this process whose store failed and is writable again. The state machine
     * keeps its state, so that this instance never shows an older one.
     *
     * @param machine state machine of the earlier replica
     * @param appliedIndex index of the last record that the state machine has applied
     */
    public static Replica resume(
            InstanceId self,
            Collection<InstanceId> founders,
            Collection<InstanceId> contacts,
            DurableStore store,
            ReplicatedStateMachine machine,
            ReplicaEnvironment environment,
            ConsensusSettings settings,
            long appliedIndex) {
        ReplicaState resumed = new ReplicaState(self, store, machine, environment, settings, appliedIndex);
        return new Replica(founders, contacts, resumed);
    }

    /** Queues a command; see {@link org.basilrill.coordination.control.ControlLog#propose}. */
    public void propose(byte[] command, CompletableFuture<byte[]> result) {
        leadership.ifPresentOrElse(
                activeLeadership -> activeLeadership.propose(command, result),
                () -> result.completeExceptionally(notLeader()));
    }

    /** Queues a read; see {@link org.basilrill.coordination.control.ControlLog#confirm}. */
    public void confirm(CompletableFuture<Long> confirmedIndex) {
        leadership.ifPresentOrElse(
                activeLeadership -> activeLeadership.read(confirmedIndex),
                () -> confirmedIndex.completeExceptionally(notLeader()));
    }

    /**
     * Hands the leadership over to an up-to-date follower without waiting for an election timeout.
     *
     * @param successors selects the followers that may take over
     * @param done completed with true once this replica no longer leads, with false if no follower could take over
     */
    public void handOverLeadership(Predicate<InstanceId> successors, CompletableFuture<Boolean> done) {
        leadership.ifPresentOrElse(
                activeLeadership -> activeLeadership.handOver(successors, done), () -> done.complete(true));
    }

    /** Adds instances that receive join requests of this one. */
    public void addContacts(Collection<InstanceId> instances) {
        joinRequests.addContacts(instances);
    }

    /** Handles one message. One that no correct replica sends is dropped and reported. */
    public void received(InstanceId sender, AddressedMessage addressed) {
        MessageCheck.runUnlessInvalid(
                addressed.message(),
                () -> handle(sender, addressed),
                violation -> state.report(
                        LogEvent.CONSENSUS_MESSAGE_DROPPED, "from " + sender + ": " + violation.getMessage()));
    }

    private void handle(InstanceId sender, AddressedMessage addressed) {
        long recipient = addressed.recipientIncarnation();
        boolean forThisIncarnation = recipient == state.self().incarnation();
        ReplicaId from = new ReplicaId(sender, addressed.senderIncarnation());
        ConsensusMessage message = addressed.message();
        if (forThisIncarnation) {
            dispatch(from, message);
            return;
        }
        if (recipient != AddressedMessage.ANY_INCARNATION) {
            return;
        }
        if (message instanceof FoundRequest request) {
            clusterBootstrap.foundRequestReceived(from, request);
        } else if (message instanceof JoinRequest) {
            leadership.ifPresent(activeLeadership -> activeLeadership.acceptLearner(from));
        }
    }

    /** Performs the periodic work: heartbeats, elections, founding and joining. Called at least every 10 ms. */
    public void tick() {
        if (leadership.isPresent()) {
            if (!leadership.get().tick()) {
                stepDown();
            }
            return;
        }
        if (state.isVoter()) {
            if (state.now() >= electionAt) {
                campaign();
            }
            if (isLeaderUnresponsive()) {
                joinRequests.sendIfDue();
            }
            return;
        }
        clusterBootstrap.tick();
        joinRequests.sendIfDue();
    }

    /** Writes and sends everything that previous calls queued. */
    public void flush() {
        leadership.ifPresent(Leadership::flush);
    }

    /** Fails all pending proposals and reads; the replica must not be used afterwards. */
    public void stop() {
        stepDown();
    }

    /** Returns a snapshot of the current state. */
    public ReplicaStatus status() {
        return new ReplicaStatus(
                state.self(),
                role(),
                state.term(),
                leader.map(ReplicaId::instance),
                state.commitIndex(),
                state.log().lastIndex(),
                state.log().members());
    }

    private ReplicaRole role() {
        if (leadership.isPresent()) {
            return ReplicaRole.LEADER;
        }
        if (!state.isVoter()) {
            return ReplicaRole.LEARNER;
        }
        return election.map(running -> running.isPreVote() ? ReplicaRole.PRE_CANDIDATE : ReplicaRole.CANDIDATE)
                .orElse(ReplicaRole.FOLLOWER);
    }

    private void dispatch(ReplicaId from, ConsensusMessage message) {
        if (message instanceof AppendRequest request) {
            append(from, request);
        } else if (message instanceof AppendResponse response && isCurrent(response.term())) {
            leadership.ifPresent(activeLeadership -> activeLeadership.responseReceived(from, response));
        } else if (message instanceof SnapshotResponse response && isCurrent(response.term())) {
            leadership.ifPresent(activeLeadership -> activeLeadership.responseReceived(from, response));
        } else if (message instanceof SnapshotChunk chunk) {
            installChunk(from, chunk);
        } else if (message instanceof VoteRequest request) {
            vote(from, request);
        } else if (message instanceof VoteResponse response) {
            voteReceived(from, response);
        } else if (message instanceof TimeoutNow request) {
            campaignImmediately(request);
        } else if (message instanceof FoundResponse response) {
            clusterBootstrap.foundResponseReceived(from, response);
        }
    }

    /** Steps down if the term of the response is later; returns whether the response belongs to the current term. */
    private boolean isCurrent(long responseTerm) {
        if (responseTerm > state.term()) {
            stepDown();
            state.adoptTerm(responseTerm);
        }
        return responseTerm == state.term();
    }

    private void append(ReplicaId from, AppendRequest request) {
        if (request.term() < state.term()) {
            state.send(from, new AppendResponse(state.term(), false, 0, request.round()));
            return;
        }
        follow(from, request.term());
        ReplicaLog log = state.log();
        long previous = request.previousIndex();
        Optional<Long> retryAfter = log.retryAfter(previous, request.previousTerm());
        if (retryAfter.isPresent()) {
            long retryAfterIndex = Math.max(retryAfter.get(), state.commitIndex());
            state.send(from, new AppendResponse(state.term(), false, retryAfterIndex, request.round()));
            return;
        }
        log.appendMissing(request.entries(), state.commitIndex());
        long matched = previous + request.entries().size();
        state.send(from, new AppendResponse(state.term(), true, matched, request.round()));
        commit(Math.min(request.commitIndex(), matched));
    }

    private void installChunk(ReplicaId from, SnapshotChunk chunk) {
        if (chunk.term() < state.term()) {
            state.send(from, new SnapshotResponse(state.term(), chunk.lastIndex(), 0, chunk.round()));
            return;
        }
        follow(from, chunk.term());
        if (chunk.lastIndex() <= state.commitIndex()) {
            state.send(from, new AppendResponse(state.term(), true, state.commitIndex(), chunk.round()));
            return;
        }
        Optional<Snapshot> complete = snapshotReceiver.add(chunk);
        if (complete.isEmpty()) {
            long next = snapshotReceiver.nextOffset();
            state.send(from, new SnapshotResponse(state.term(), chunk.lastIndex(), next, chunk.round()));
            return;
        }
        state.install(complete.get());
        state.send(from, new AppendResponse(state.term(), true, chunk.lastIndex(), chunk.round()));
    }

    private void vote(ReplicaId from, VoteRequest request) {
        boolean refusedByLease = isLeaderLeaseValid() && !request.handedOver();
        if (request.term() < state.term() || refusedByLease) {
            // A candidate with an earlier term receives the current term. One with a later term receives no response,
            // so that it cannot depose the leader.
            if (request.term() < state.term()) {
                state.send(from, new VoteResponse(state.term(), request.preVote(), false));
            }
            return;
        }
        ReplicaLog log = state.log();
        boolean upToDate = request.lastTerm() > log.lastTerm()
                || (request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex());
        if (request.preVote()) {
            boolean granted = upToDate && request.term() > state.term();
            long responseTerm = granted ? request.term() : state.term();
            state.send(from, new VoteResponse(responseTerm, true, granted));
            return;
        }
        boolean laterTerm = request.term() > state.term();
        if (laterTerm) {
            stepDown();
        }
        boolean granted = upToDate && (laterTerm || state.mayVoteFor(from));
        if (granted) {
            state.voteFor(request.term(), from);
            resetElectionTimer();
        } else {
            state.adoptTerm(request.term());
        }
        state.send(from, new VoteResponse(state.term(), false, granted));
    }

    private boolean isLeaderLeaseValid() {
        if (leadership.isPresent()) {
            return leadership.get().holdsLease();
        }
        return state.now() - lastLeaderContactAt
                < state.settings().minimumElectionTimeout().toNanos();
    }

    /**
     * Returns whether the leader is unresponsive. A voter removed while it was partitioned has no other sign of its
     * removal, so it then also sends join requests.
     */
    private boolean isLeaderUnresponsive() {
        return state.now() - lastLeaderContactAt
                > state.settings().maximumElectionTimeout().toNanos();
    }

    private void voteReceived(ReplicaId from, VoteResponse response) {
        boolean ofOtherTerm = !response.granted() && !isCurrent(response.term());
        if (ofOtherTerm || election.isEmpty()) {
            return;
        }
        election.get().voteReceived(from, response);
        countVotes();
    }

    private void campaign() {
        begin(Election.preVote(state));
    }

    /** Begins the timeout after the vote of this replica is written, so that the others have all of it for theirs. */
    private void begin(Election next) {
        leader = Optional.empty();
        election = Optional.of(next);
        resetElectionTimer();
        countVotes();
    }

    private void campaignImmediately(TimeoutNow request) {
        if (request.term() != state.term() || leadership.isPresent() || !state.isVoter()) {
            return;
        }
        begin(Election.voteAfterHandover(state));
    }

    private void countVotes() {
        if (election.filter(Election::isWon).isEmpty()) {
            return;
        }
        if (election.get().isPreVote()) {
            begin(Election.vote(state));
            return;
        }
        election = Optional.empty();
        leader = Optional.of(state.self());
        state.recordLeader();
        leadership = Optional.of(new Leadership(state));
    }

    private void follow(ReplicaId from, long term) {
        if (term > state.term()) {
            stepDown();
            state.adoptTerm(term);
        }
        if (leadership.isPresent()) {
            throw new BasilrillException(
                    ErrorCode.MESSAGE_MALFORMED, "this replica leads term " + term + ", and so does the sender");
        }
        election = Optional.empty();
        leader = Optional.of(from);
        state.recordLeader();
        lastLeaderContactAt = state.now();
        resetElectionTimer();
    }

    private void stepDown() {
        election = Optional.empty();
        leader = Optional.empty();
        snapshotReceiver.discard();
        Optional<Leadership> ended = leadership;
        leadership = Optional.empty();
        ended.ifPresent(Leadership::end);
        resetElectionTimer();
    }

    private void commit(long index) {
        state.commitTo(index, (applied, result) -> {});
    }

    private void resetElectionTimer() {
        electionAt = state.now() + state.electionTimeout();
    }

    private BasilrillException notLeader() {
        return new BasilrillException(ErrorCode.NOT_LEADER, "this replica does not lead the control log");
    }
}
