package org.basilrill.coordination.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendAnswer;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotAnswer;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;

/**
 * The leader's part of one term: proposals, replication, quorum rounds and member changes. Exists only while the
 * replica leads. Not thread safe.
 */
final class Leadership {
    /** A learner this close to the end of the log is promoted; it receives the rest as a voter. */
    private static final int PROMOTION_LAG = 64;

    /** Bounds the memory of one write, as every command may be as large as a rule file. */
    private static final long GROUP_BYTES = 8L << 20;

    private final ReplicaState state;
    private final Map<ReplicaId, PeerProgress> peers = new TreeMap<>();
    private final Replicator replicator;
    private final List<Proposal> queued = new ArrayList<>();
    private final Map<Long, CompletableFuture<byte[]>> appended = new TreeMap<>();
    private final QuorumReads reads = new QuorumReads();
    private final long firstIndex;
    private long round;
    private long heartbeatAt;
    private long announcedCommit;
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
        queued.add(new Proposal(command, result));
    }

    /** Queues a read; its index covers all that was committed, also by earlier leaders. */
    void read(CompletableFuture<Long> answer) {
        reads.add(Math.max(state.commitIndex(), firstIndex), answer);
    }

    /** Hands the leadership to the voter that holds most of the log; completes with whether it has ended here. */
    void handOver(CompletableFuture<Boolean> done) {
        long recent = state.now() - state.settings().minimumElectionTimeout().toNanos();
        Optional<PeerProgress> successor = peers.values().stream()
                .filter(peer -> state.log().members().contains(peer.peer()) && peer.heardAt() > recent)
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
    void join(ReplicaId learner) {
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
        // A learner starts from nothing: nothing but a record sent to it would reveal what it lacks.
        trackPeer(learner, 1, state.now());
        state.report(LogEvent.LEARNER_ACCEPTED, learner.toString());
        replicator.heartbeat(peers.get(learner), round);
    }

    /** Writes what was queued with one sync per group, and begins a quorum round if reads wait for one. */
    void flush() {
        while (!queued.isEmpty()) {
            appendGroup();
        }
        advanceCommit();
        changeMembersIfDue();
        peers.values().forEach(peer -> replicator.sendRecords(peer, round));
        if (reads.needRound(acknowledgedRound())) {
            beginRound();
        }
        announceCommit();
        handover = handover.filter(LeadershipHandover::proceed);
        reads.complete(acknowledgedRound(), state.commitIndex());
    }

    /** Sends heartbeats when due; returns false if the leader has heard from no majority for too long. */
    boolean tick() {
        long now = state.now();
        if (now - majorityHeardAt() > state.longestSilence()) {
            state.report(LogEvent.LEADER_WITHOUT_QUORUM, "term " + state.term());
            return false;
        }
        long learnerTimeout = state.settings().learnerTimeout().toNanos();
        peers.values()
                .removeIf(
                        peer -> !state.log().members().contains(peer.peer()) && now - peer.heardAt() > learnerTimeout);
        if (now >= heartbeatAt) {
            beginRound();
        }
        return true;
    }

    /** Returns whether a majority was heard within the time for which votes are refused. */
    boolean holdsLease() {
        return state.now() - majorityHeardAt()
                < state.settings().minimumElectionTimeout().toNanos();
    }

    void answered(ReplicaId from, AppendAnswer answer) {
        PeerProgress peer = peers.get(from);
        if (peer == null) {
            return;
        }
        peer.heard(state.now(), answer.round());
        if (answer.matched()) {
            peer.matched(answer.index());
        } else {
            peer.mismatched(answer.index());
        }
    }

    void answered(ReplicaId from, SnapshotAnswer answer) {
        PeerProgress peer = peers.get(from);
        if (peer == null) {
            return;
        }
        peer.heard(state.now(), answer.round());
        boolean current = peer.snapshot()
                .filter(sending -> sending.lastIndex() == answer.lastIndex())
                .isPresent();
        if (current) {
            peer.chunkReceived(answer.nextOffset());
        }
    }

    /** Fails what is still open; commands already in the log may yet take effect. */
    void end() {
        state.report(LogEvent.LEADERSHIP_LOST, "term " + state.term());
        BasilrillException lost =
                new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "leadership of the control log was lost");
        List<CompletableFuture<byte[]>> open = List.copyOf(appended.values());
        appended.clear();
        open.forEach(result -> result.completeExceptionally(lost.withOutcome(Outcome.MAY_HAVE_RUN)));
        List<Proposal> unwritten = List.copyOf(queued);
        queued.clear();
        BasilrillException notLeader =
                new BasilrillException(ErrorCode.NOT_LEADER, "leadership was lost before the command was written");
        unwritten.forEach(proposal -> proposal.result().completeExceptionally(notLeader));
        reads.fail(lost);
        handover.ifPresent(LeadershipHandover::leadershipEnded);
    }

    /** Writes the first of the queued commands, at least one and otherwise at most the bytes of one group. */
    private void appendGroup() {
        List<LogRecord> records = new ArrayList<>();
        long bytes = 0;
        for (Proposal proposal : queued) {
            bytes += proposal.command().length;
            if (!records.isEmpty() && bytes > GROUP_BYTES) {
                break;
            }
            long index = state.log().lastIndex() + 1 + records.size();
            records.add(new LogRecord(index, state.term(), RecordKind.COMMAND, proposal.command()));
            appended.put(index, proposal.result());
        }
        queued.subList(0, records.size()).clear();
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
        reads.roundBegins(round);
        heartbeatAt = state.now() + state.settings().heartbeat().toNanos();
        announcedCommit = state.commitIndex();
        peers.values().forEach(peer -> replicator.heartbeat(peer, round));
    }

    /** Followers answer reads of their own instances, so they learn a new commit index without waiting. */
    private void announceCommit() {
        if (announcedCommit < state.commitIndex()) {
            announcedCommit = state.commitIndex();
            peers.values().forEach(peer -> replicator.heartbeat(peer, round));
        }
    }

    private long acknowledgedRound() {
        return byMajority(PeerProgress::acknowledgedRound, round);
    }

    private long majorityHeardAt() {
        return byMajority(PeerProgress::heardAt, state.now());
    }

    private long byMajority(ToLongFunction<PeerProgress> value, long own) {
        return state.log()
                .members()
                .reachedByMajority(voter -> voter.equals(state.self()) ? own : value.applyAsLong(peers.get(voter)));
    }

    private void advanceCommit() {
        long matched = byMajority(PeerProgress::matchIndex, state.log().lastIndex());
        // A record of an earlier term counts only through a later one of this term: alone it can still be replaced.
        if (matched <= state.commitIndex() || state.log().termAt(matched) != state.term()) {
            return;
        }
        state.commitTo(
                matched,
                (index, result) ->
                        Optional.ofNullable(appended.remove(index)).ifPresent(open -> open.complete(result)));
    }

    /**
     * Makes at most one change of members: replaces voters that are gone by learners that are caught up. A voter that
     * leaves does so in a record of its own before another enters: majorities of {a, b, c} and of {a', b, c} need not
     * overlap, those of {b, c} overlap with both.
     */
    private void changeMembersIfDue() {
        boolean changeOpen = state.log().membersIndex() > state.commitIndex();
        if (changeOpen || state.commitIndex() < firstIndex) {
            return;
        }
        Optional<ReplicaId> learner =
                peers.values().stream().filter(this::isCaughtUp).findFirst().map(PeerProgress::peer);
        Optional<ReplicaId> leaving = leavingVoter(learner);
        if (leaving.isPresent()) {
            remove(leaving.get());
            return;
        }
        MemberSet members = state.log().members();
        learner.filter(ready -> members.voters().size() < MemberSet.MAXIMUM_VOTERS)
                .ifPresent(ready -> changeMembers(members.with(ready)));
    }

    private boolean isCaughtUp(PeerProgress peer) {
        long recent = state.now() - state.settings().minimumElectionTimeout().toNanos();
        return !state.log().members().contains(peer.peer())
                && peer.hasAnswered()
                && peer.heardAt() > recent
                && peer.matchIndex() > 0
                && peer.matchIndex() + PROMOTION_LAG >= state.log().lastIndex();
    }

    /**
     * Returns the voter to remove: the old incarnation of the learner, or one that has been silent for long if the
     * others then bear the loss of as many as before. An even number of voters bears no more losses than one voter
     * less; from an odd number one may leave only if the learner takes its place.
     */
    private Optional<ReplicaId> leavingVoter(Optional<ReplicaId> learner) {
        MemberSet members = state.log().members();
        Optional<ReplicaId> replaced = learner.flatMap(members::voterOf);
        boolean even = members.voters().size() % 2 == 0;
        if (replaced.isPresent() || learner.isPresent() == even) {
            return replaced;
        }
        long silent = state.now() - state.settings().voterTimeout().toNanos();
        return peers.values().stream()
                .filter(peer -> members.contains(peer.peer()) && peer.heardAt() < silent)
                .min(Comparator.comparingLong(PeerProgress::heardAt))
                .map(PeerProgress::peer);
    }

    private void remove(ReplicaId voter) {
        state.report(LogEvent.VOTER_REMOVED, voter.toString());
        peers.remove(voter);
        changeMembers(state.log().members().without(voter));
    }

    private void changeMembers(MemberSet changed) {
        state.log().append(List.of(record(RecordKind.MEMBERS, changed.encode())));
        advanceCommit();
    }

    /** A command that is not yet in the log. */
    private record Proposal(byte[] command, CompletableFuture<byte[]> result) {}
}
