package org.basilrill.coordination.consensus;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotChunk;
import org.basilrill.state.log.DurableStore.Snapshot;

/**
 * Assembles a snapshot from chunks. Chunks of another leader's term or another snapshot start the assembly anew, since
 * two replicas may encode the same state differently. Not thread safe.
 */
final class SnapshotReceiver {
    private long term;
    private long lastIndex;
    private ByteArrayOutputStream received = new ByteArrayOutputStream();

    /** Adds a chunk if it is the next one; returns the snapshot once it is complete. */
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

    /** Returns the offset of the next chunk. */
    long nextOffset() {
        return received.size();
    }

    /** Frees the chunks received so far. */
    void discard() {
        term = 0;
        lastIndex = 0;
        received = new ByteArrayOutputStream();
    }
}
