package org.basilrill.coordination.consensus;

import java.util.Optional;
import org.basilrill.state.log.DurableStore.Snapshot;

/** What the leader knows of another replica. Not thread safe. */
final class PeerProgress {
    private final ReplicaId peer;
    private final long firstRound;
    private long nextIndex;
    private long matchIndex;
    private long inFlightIndex;
    private long sentAt;
    private long heardAt;
    private long acknowledgedRound;
    private Optional<Snapshot> snapshot = Optional.empty();
    private long snapshotOffset;

    PeerProgress(ReplicaId peer, long nextIndex, long firstRound, long now) {
        this.peer = peer;
        this.firstRound = firstRound;
        this.nextIndex = nextIndex;
        this.heardAt = now;
    }

    ReplicaId peer() {
        return peer;
    }

    long nextIndex() {
        return nextIndex;
    }

    /** Returns the last index known to be durable on the peer and equal to the leader's. */
    long matchIndex() {
        return matchIndex;
    }

    long heardAt() {
        return heardAt;
    }

    long acknowledgedRound() {
        return acknowledgedRound;
    }

    /** Returns whether the peer answered a message sent since it is tracked; late answers may come from a lost one. */
    boolean hasAnswered() {
        return acknowledgedRound >= firstRound;
    }

    Optional<Snapshot> snapshot() {
        return snapshot;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    /** Returns whether records or a chunk were sent and neither answered nor overdue. */
    boolean awaitsAnswer(long now, long overdueAfter) {
        return inFlightIndex > 0 && now - sentAt < overdueAfter;
    }

    void sent(long lastIndex, long now) {
        inFlightIndex = lastIndex;
        sentAt = now;
    }

    void heard(long now, long round) {
        heardAt = now;
        acknowledgedRound = Math.max(acknowledgedRound, round);
    }

    void matched(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        if (matchIndex >= inFlightIndex) {
            inFlightIndex = 0;
        }
        if (snapshot.filter(sending -> sending.lastIndex() <= matchIndex).isPresent()) {
            snapshot = Optional.empty();
        }
    }

    void mismatched(long retryAfterIndex) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, retryAfterIndex + 1));
        inFlightIndex = 0;
    }

    void startSnapshot(Snapshot sending) {
        snapshot = Optional.of(sending);
        snapshotOffset = 0;
    }

    void chunkReceived(long nextOffset) {
        snapshotOffset = nextOffset;
        inFlightIndex = 0;
    }
}
