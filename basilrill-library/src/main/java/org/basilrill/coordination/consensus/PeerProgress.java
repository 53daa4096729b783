package org.basilrill.coordination.consensus;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.TransferTime;
import org.basilrill.state.log.DurableStore.Snapshot;

/** The leader's record of the replication progress and last contact of another replica. Not thread safe. */
final class PeerProgress {
    /** Limits how long a replica waits for lost records once the link to it works again. */
    private static final Duration MAXIMUM_DOUBLED_TIMEOUT = Duration.ofSeconds(1);

    private final ReplicaId peer;
    private final long firstRound;
    private long nextIndex;
    private long matchIndex;
    private long inFlightIndex;
    private long sentAt;
    private long allowedNanos;
    private long lastContactAt;
    private long acknowledgedRound;
    private Optional<Snapshot> snapshot = Optional.empty();
    private long snapshotOffset;

    PeerProgress(ReplicaId peer, long nextIndex, long firstRound, long now) {
        this.peer = peer;
        this.firstRound = firstRound;
        this.nextIndex = nextIndex;
        this.lastContactAt = now;
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

    long lastContactAt() {
        return lastContactAt;
    }

    long acknowledgedRound() {
        return acknowledgedRound;
    }

    /**
     * Returns whether the peer responded to a message sent since tracking began. Delayed responses to earlier messages
     * may come from a lost incarnation.
     */
    boolean hasResponded() {
        return acknowledgedRound >= firstRound;
    }

    Optional<Snapshot> snapshot() {
        return snapshot;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    /** Returns whether records or a chunk are in flight and their response is not overdue. */
    boolean awaitsResponse(long now) {
        return inFlightIndex > 0 && now - sentAt < allowedNanos;
    }

    /** Returns the age of the records or the chunk in flight, if any. */
    Optional<Duration> inFlightAge(long now) {
        return inFlightIndex > 0 ? Optional.of(Duration.ofNanos(now - sentAt)) : Optional.empty();
    }

    /**
     * Records that records or a chunk were sent. The time allowed for the response includes the transfer and doubles
     * with each repetition: copies of records that are still on their way would fill the link.
     *
     * @param bytes size of their payload
     * @param responseTimeout time allowed for the response to an empty message
     */
    void recordSent(long lastIndex, long bytes, Duration responseTimeout, long now) {
        long first = responseTimeout.plus(TransferTime.of(bytes)).toNanos();
        boolean repeated = inFlightIndex > 0;
        allowedNanos =
                repeated ? Math.max(first, Math.min(2 * allowedNanos, MAXIMUM_DOUBLED_TIMEOUT.toNanos())) : first;
        inFlightIndex = lastIndex;
        sentAt = now;
    }

    void recordContact(long now, long round) {
        lastContactAt = now;
        acknowledgedRound = Math.max(acknowledgedRound, round);
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        if (matchIndex >= inFlightIndex) {
            inFlightIndex = 0;
        }
        if (snapshot.filter(sending -> sending.lastIndex() <= matchIndex).isPresent()) {
            snapshot = Optional.empty();
        }
    }

    void recordMismatch(long retryAfterIndex) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, retryAfterIndex + 1));
        inFlightIndex = 0;
    }

    void startSnapshot(Snapshot sending) {
        snapshot = Optional.of(sending);
        snapshotOffset = 0;
    }

    void recordChunk(long nextOffset) {
        snapshotOffset = nextOffset;
        inFlightIndex = 0;
    }
}
