package org.basilrill.coordination.consensus;

import java.util.Arrays;
import java.util.List;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotChunk;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.Snapshot;

/**
 * Sends records, snapshots and heartbeats to the other replicas. One batch or chunk is under way to each replica at a
 * time; what arrives meanwhile forms the next batch. Not thread safe.
 */
final class Replicator {
    private final ReplicaState state;

    Replicator(ReplicaState state) {
        this.state = state;
    }

    /** Sends the next records or chunk unless an answer is awaited or nothing is missing. */
    void sendRecords(PeerProgress peer, long round) {
        boolean upToDate = peer.nextIndex() > state.log().lastIndex();
        if (upToDate || awaitsAnswer(peer)) {
            return;
        }
        if (peer.nextIndex() <= state.log().baseIndex()) {
            sendChunk(peer, round);
            return;
        }
        long previous = peer.nextIndex() - 1;
        List<LogRecord> records =
                state.log().slice(peer.nextIndex(), state.settings().appendBytes());
        peer.sent(previous + records.size(), state.now());
        state.send(peer.peer(), request(previous, round, records));
    }

    /** Sends a message of the round: records if there are any to send, otherwise an empty append. */
    void heartbeat(PeerProgress peer, long round) {
        boolean recordsDue = peer.nextIndex() <= state.log().lastIndex() && !awaitsAnswer(peer);
        if (recordsDue) {
            sendRecords(peer, round);
            return;
        }
        // The last matching index always fits the peer's log, so a heartbeat cannot be refused for a gap.
        long previous = peer.matchIndex() >= state.log().baseIndex() ? peer.matchIndex() : 0;
        state.send(peer.peer(), request(previous, round, List.of()));
    }

    private boolean awaitsAnswer(PeerProgress peer) {
        return peer.awaitsAnswer(state.now(), state.settings().heartbeat().toNanos());
    }

    private AppendRequest request(long previous, long round, List<LogRecord> records) {
        long previousTerm = previous == 0 ? 0 : state.log().termAt(previous);
        return new AppendRequest(state.term(), previous, previousTerm, state.commitIndex(), round, records);
    }

    private void sendChunk(PeerProgress peer, long round) {
        if (peer.snapshot().isEmpty()) {
            peer.startSnapshot(state.log().snapshot().orElseThrow());
        }
        Snapshot sending = peer.snapshot().orElseThrow();
        int offset = (int) Math.min(peer.snapshotOffset(), sending.state().length);
        int end = Math.min(sending.state().length, offset + state.settings().chunkBytes());
        peer.sent(sending.lastIndex(), state.now());
        state.send(
                peer.peer(),
                new SnapshotChunk(
                        state.term(),
                        sending.lastIndex(),
                        sending.lastTerm(),
                        sending.members(),
                        offset,
                        sending.state().length,
                        Arrays.copyOfRange(sending.state(), offset, end),
                        round));
    }
}
