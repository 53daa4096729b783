package org.basilrill.coordination.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendResponse;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotResponse;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;

/**
 * The duties of the leader in one term: proposals, replication, quorum rounds and member changes. Exists only while the
 * replica leads. Not thread safe.
 */
final class Leadership {
    /** A learner that lags by at most this many records is promoted; it receives the rest as a voter. */
    private static final int PROMOTION_LAG = 64;

    /** Limits the memory of one write, because every command may be as large as a rules file. */
    private static final long GROUP_BYTES = 8L << 20;

    private final ReplicaState state;
    private final Map<ReplicaId, PeerProgress> peers = new TreeMap<>();
    private final Replicator replicator;
    private final List<Proposal> queuedProposals = new ArrayList<>();
    private final Map<Long, CompletableFuture<byte[]>> pendingResults = new TreeMap<>();
    private final QuorumReads quorumReads = new QuorumReads();
    private final long firstIndex;
    private long round;
    private long nextHeartbeatAt;
    private long announcedCommitIndex;
    private Optional<LeadershipHandover> handover = Optional.empty();

    Leadership(ReplicaState state) {
        this.state = state;
        this.replicator = new Replicator(state);
        this.firstIndex = state.log().lastIndex() + 1;
        long now = state.now();
        voters().forEach(voter -> trackPeer(voter, firstIndex, now));
        state.log().append(List.of(record(RecordKind.NO_OPERATION, new byte[0])));
        state.report(LogEvent.LEADER_ELECTED, "term " + state.term());
        beginRound();
        advanceCommit();
    }

    void propose(byte[] command, CompletableFuture<byte[]> result) {
        if (handover.isPresent()) {
            result.completeExceptionally(
                    new BasilrillException(ErrorCode.NOT_LEADER, "the leadership is being handed over"));
            return;
        }
        queuedProposals.add(new Proposal(command, result));
    }

    /** Queues a read. Its index covers all committed records, including those of earlier leaders. */
    void read(CompletableFuture<Long> confirmedIndex) {
        quorumReads.add(Math.max(state.commitIndex(), firstIndex), confirmedIndex);
    }

    /**
     * Hands the leadership over to the responsive voter with the highest matching index among those that match. The
     * future completes with whether the leadership of this replica has ended.
     */
    void handOver(Predicate<InstanceId> successors, CompletableFuture<Boolean> done) {
        long recent = state.now() - state.settings().minimumElectionTimeout().toNanos();
        Optional<PeerProgress> successor = peers.values().stream()
                .filter(peer -> state.log().members().contains(peer.peer()) && peer.lastContactAt() > recent)
                .filter(peer -> successors.test(peer.peer().instance()))
                .max(Comparator.comparingLong(PeerProgress::matchIndex));
        if (handover.isPresent() || successor.isEmpty()) {
            done.complete(false);
            return;
        }
        state.report(
                LogEvent.LEADERSHIP_HANDOVER, "to " + successor.get().peer().instance());
        handover = Optional.of(new LeadershipHandover(state, successor.get(), done));
    }

    /** Accepts a replica that is not a voter as a learner. */
    void acceptLearner(ReplicaId learner) {
        boolean ownName = learner.instance().equals(state.self().instance());
        if (ownName || state.log().members().contains(learner)) {
            return;
        }
        if (peers.containsKey(learner)) {
            return;
        }
        peers.keySet()
                .removeIf(other -> other.instance().equals(learner.instance())
                        && !state.log().members().contains(other));
        // Assumes an empty log: only a response to sent records shows which records the learner lacks.
        trackPeer(learner, 1, state.now());
        state.report(LogEvent.LEARNER_ACCEPTED, learner.toString());
        replicator.heartbeat(peers.get(learner), round);
    }

    /** Writes the queued proposals with one sync per group, and starts a quorum round if reads wait for one. */
    void flush() {
        while (!queuedProposals.isEmpty()) {
            appendGroup();
        }
        advanceCommit();
        changeMembersIfDue();
        peers.values().forEach(peer -> replicator.sendRecords(peer, round));
        if (quorumReads.needsRound(acknowledgedRound())) {
            beginRound();
        }
        announceCommitIndex();
        handover = handover.filter(LeadershipHandover::advanceHandover);
        quorumReads.complete(acknowledgedRound(), state.commitIndex());
    }

    /**
     * Sends heartbeats when due; returns false if the leader must step down because it lost contact with a majority.
     */
    boolean tick() {
        long now = state.now();
        if (now - majorityContactAt() > state.scaledMaximumElectionTimeout()) {
            state.report(LogEvent.LEADER_WITHOUT_QUORUM, "term " + state.term());
            return false;
        }
        long learnerTimeout = state.settings().learnerTimeout().toNanos();
        peers.values()
                .removeIf(peer ->
                        !state.log().members().contains(peer.peer()) && now - peer.lastContactAt() > learnerTimeout);
        if (now >= nextHeartbeatAt) {
            beginRound();
        }
        return true;
    }

    /** Returns whether a majority responded within the time for which it refuses votes to other candidates. */
    boolean holdsLease() {
        return state.now() - majorityContactAt()
                < state.settings().minimumElectionTimeout().toNanos();
    }

    void responseReceived(ReplicaId from, AppendResponse response) {
        PeerProgress peer = peers.get(from);
        if (peer == null) {
            return;
        }
        if (response.matched() && response.index() > state.log().lastIndex()) {
            throw new BasilrillException(
                    ErrorCode.MESSAGE_MALFORMED,
                    String.format(
                            "record %d matches, after %d",
                            response.index(), state.log().lastIndex()));
        }
        peer.recordContact(state.now(), response.round());
        if (response.matched()) {
            peer.recordMatch(response.index());
        } else {
            peer.recordMismatch(response.index());
        }
    }

    void responseReceived(ReplicaId from, SnapshotResponse response) {
        PeerProgress peer = peers.get(from);
        if (peer == null) {
            return;
        }
        peer.recordContact(state.now(), response.round());
        boolean current = peer.snapshot()
                .filter(sending -> sending.lastIndex() == response.lastIndex())
                .isPresent();
        if (current) {
            peer.recordChunk(response.nextOffset());
        }
    }

    /** Fails all pending proposals and reads. Commands already in the log may still take effect. */
    void end() {
        state.report(LogEvent.LEADERSHIP_LOST, "term " + state.term());
        BasilrillException lost = new BasilrillException(
                ErrorCode.CONTROL_UNAVAILABLE,
                "the leadership of the control log was lost before the request completed");
        List<CompletableFuture<byte[]>> unresolved = List.copyOf(pendingResults.values());
        pendingResults.clear();
        unresolved.forEach(result -> result.completeExceptionally(lost.withOutcome(Outcome.MAY_HAVE_RUN)));
        List<Proposal> discarded = List.copyOf(queuedProposals);
        queuedProposals.clear();
        BasilrillException notLeader =
                new BasilrillException(ErrorCode.NOT_LEADER, "leadership was lost before the command was written");
        discarded.forEach(proposal -> proposal.result().completeExceptionally(notLeader));
        quorumReads.fail(lost);
        handover.ifPresent(LeadershipHandover::leadershipEnded);
    }

    /** Writes the first queued commands: at least one, and otherwise at most {@link #GROUP_BYTES}. */
    private void appendGroup() {
        List<LogRecord> records = new ArrayList<>();
        long bytes = 0;
        for (Proposal proposal : queuedProposals) {
            bytes += proposal.command().length;
            if (!records.isEmpty() && bytes > GROUP_BYTES) {
                break;
            }
            long index = state.log().lastIndex() + 1 + records.size();
            records.add(new LogRecord(index, state.term(), RecordKind.COMMAND, proposal.command()));
            pendingResults.put(index, proposal.result());
        }
        queuedProposals.subList(0, records.size()).clear();
        state.log().append(records);
    }

    private void trackPeer(ReplicaId peer, long nextIndex, long now) {
        if (!peer.equals(state.self())) {
            peers.put(peer, new PeerProgress(peer, nextIndex, round + 1, now));
        }
    }

    private Iterable<ReplicaId> voters() {
        return state.log().members().voters();
    }

    private LogRecord record(RecordKind kind, byte[] payload) {
        return new LogRecord(state.log().lastIndex() + 1, state.term(), kind, payload);
    }

    private void beginRound() {
        round++;
        quorumReads.roundStarted(round);
        nextHeartbeatAt = state.now() + state.settings().heartbeat().toNanos();
        announcedCommitIndex = state.commitIndex();
        peers.values().forEach(peer -> replicator.heartbeat(peer, round));
    }

    /** Sends a new commit index immediately, because followers serve the reads of their own instances. */
    private void announceCommitIndex() {
        if (announcedCommitIndex < state.commitIndex()) {
            announcedCommitIndex = state.commitIndex();
            peers.values().forEach(peer -> replicator.heartbeat(peer, round));
        }
    }

    private long acknowledgedRound() {
        return majorityValue(PeerProgress::acknowledgedRound, round);
    }

    private long majorityContactAt() {
        return majorityValue(PeerProgress::lastContactAt, state.now());
    }

    private long majorityValue(ToLongFunction<PeerProgress> value, long ownValue) {
        return state.log()
                .members()
                .reachedByMajority(
                        voter -> voter.equals(state.self()) ? ownValue : value.applyAsLong(peers.get(voter)));
    }

    private void advanceCommit() {
        long matched = majorityValue(PeerProgress::matchIndex, state.log().lastIndex());
        // A record of an earlier term is committed only by a later record of this term: until then it can be replaced.
        if (matched <= state.commitIndex() || state.log().termAt(matched) != state.term()) {
            return;
        }
        state.commitTo(
                matched,
                (index, result) -> Optional.ofNullable(pendingResults.remove(index))
                        .ifPresent(unresolved -> unresolved.complete(result)));
    }

    /**
     * Makes at most one member change: replaces unresponsive voters by learners that have caught up. A voter is removed
     * in a separate record before another is added: majorities of {a, b, c} and of {a', b, c} need not overlap, those
     * of {b, c} overlap with both.
     */
    private void changeMembersIfDue() {
        boolean changeUncommitted = state.log().membersIndex() > state.commitIndex();
        if (changeUncommitted || state.commitIndex() < firstIndex) {
            return;
        }
        Optional<ReplicaId> learner =
                peers.values().stream().filter(this::isCaughtUp).findFirst().map(PeerProgress::peer);
        Optional<ReplicaId> obsoleteVoter = voterToRemove(learner);
        if (obsoleteVoter.isPresent()) {
            removeVoter(obsoleteVoter.get());
            return;
        }
        MemberSet members = state.log().members();
        learner.filter(caughtUp -> members.voters().size() < MemberSet.MAXIMUM_VOTERS)
                .ifPresent(caughtUp -> changeMembers(members.with(caughtUp)));
    }

    private boolean isCaughtUp(PeerProgress peer) {
        long recent = state.now() - state.settings().minimumElectionTimeout().toNanos();
        return !state.log().members().contains(peer.peer())
                && peer.hasResponded()
                && peer.lastContactAt() > recent
                && peer.matchIndex() > 0
                && peer.matchIndex() + PROMOTION_LAG >= state.log().lastIndex();
    }

    /**
     * Returns the voter to remove, if any. This is the old incarnation of the learner, or a long unresponsive voter
     * whose removal does not reduce the number of tolerated failures. An even number of voters tolerates no more
     * failures than one voter less. From an odd number a voter is removed only if a learner replaces it.
     */
    private Optional<ReplicaId> voterToRemove(Optional<ReplicaId> learner) {
        MemberSet members = state.log().members();
        Optional<ReplicaId> replaced = learner.flatMap(members::voterOfSameInstance);
        boolean even = members.voters().size() % 2 == 0;
        if (replaced.isPresent() || learner.isPresent() == even) {
            return replaced;
        }
        long unresponsiveSince = state.now() - state.settings().voterTimeout().toNanos();
        return peers.values().stream()
                .filter(peer -> members.contains(peer.peer()) && peer.lastContactAt() < unresponsiveSince)
                .min(Comparator.comparingLong(PeerProgress::lastContactAt))
                .map(PeerProgress::peer);
    }

    private void removeVoter(ReplicaId voter) {
        state.report(LogEvent.VOTER_REMOVED, voter.toString());
        peers.remove(voter);
        changeMembers(state.log().members().without(voter));
    }

    private void changeMembers(MemberSet changed) {
        state.log().append(List.of(record(RecordKind.MEMBERS, changed.encode())));
        advanceCommit();
    }

    /** A queued command that is not yet in the log. */
    private record Proposal(byte[] command, CompletableFuture<byte[]> result) {}
}
