package org.basilrill.coordination.consensus;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotChunk;
import org.basilrill.state.log.DurableStore.Snapshot;

/**
 * Assembles a snapshot from chunks. A chunk of another term or another snapshot restarts the assembly, because two
 * replicas may encode the same state differently. Not thread safe.
 */
final class SnapshotReceiver {
    private long term;
    private long lastIndex;
    private ByteArrayOutputStream received = new ByteArrayOutputStream();

    /** Appends a chunk if it is the next one; returns the snapshot once it is complete. */
    Optional<Snapshot> add(SnapshotChunk chunk) {
        if (chunk.term() != term || chunk.lastIndex() != lastIndex) {
            term = chunk.term();
            lastIndex = chunk.lastIndex();
            received = new ByteArrayOutputStream();
        }
        if (chunk.offset() == received.size()) {
            received.writeBytes(chunk.data());
        }
        if (received.size() < chunk.totalBytes()) {
            return Optional.empty();
        }
        Snapshot complete = new Snapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.members(), received.toByteArray());
        discard();
        return Optional.of(complete);
    }

    /** Returns the offset of the next expected chunk. */
    long nextOffset() {
        return received.size();
    }

    /** Discards the chunks received so far. */
    void discard() {
        term = 0;
        lastIndex = 0;
        received = new ByteArrayOutputStream();
    }
}
