package org.basilrill.coordination.consensus;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotChunk;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.Snapshot;

/**
 * Sends records, snapshots and heartbeats to the other replicas. At most one batch or chunk is in flight to each
 * replica; records appended in the meantime form the next batch. Not thread safe.
 */
final class Replicator {
    private final ReplicaState state;

    Replicator(ReplicaState state) {
        this.state = state;
    }

    /** Sends the next records or chunk unless a response is pending or the peer is up to date. */
    void sendRecords(PeerProgress peer, long round) {
        boolean upToDate = peer.nextIndex() > state.log().lastIndex();
        if (upToDate || peer.awaitsResponse(state.now())) {
            return;
        }
        peer.inFlightAge(state.now()).ifPresent(age -> reportOverdue(peer, age));
        if (peer.nextIndex() <= state.log().baseIndex()) {
            sendChunk(peer, round);
            return;
        }
        long previous = peer.nextIndex() - 1;
        List<LogRecord> records =
                state.log().slice(peer.nextIndex(), state.settings().appendBytes());
        long bytes =
                records.stream().mapToLong(record -> record.payload().length).sum();
        peer.recordSent(previous + records.size(), bytes, state.settings().heartbeat(), state.now());
        state.send(peer.peer(), request(previous, round, records));
    }

    /** Sends a message of the round: records if any are due, otherwise an empty append request. */
    void heartbeat(PeerProgress peer, long round) {
        boolean recordsDue = peer.nextIndex() <= state.log().lastIndex() && !peer.awaitsResponse(state.now());
        if (recordsDue) {
            sendRecords(peer, round);
            return;
        }
        // The last matching index is always present in the peer's log, so a heartbeat is never rejected for a gap.
        long previous = peer.matchIndex() >= state.log().baseIndex() ? peer.matchIndex() : 0;
        state.send(peer.peer(), request(previous, round, List.of()));
    }

    private void reportOverdue(PeerProgress peer, Duration age) {
        state.report(
                LogEvent.RECORDS_SENT_AGAIN,
                String.format("%s, from index %d, after %d ms", peer.peer(), peer.nextIndex(), age.toMillis()));
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
        peer.recordSent(sending.lastIndex(), end - offset, state.settings().heartbeat(), state.now());
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
