package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.membership.Fact;
import org.basilrill.coordination.membership.Fact.BlockedRequestFact;

/**
 * Fingerprints of requests that were recently blocked, here or at another instance. The control state lists them, too,
 * but an instance receives it only with its next pull; without this set, a request that was resent through another
 * instance before that pull crashed one more target. An entry is retained for longer than an instance accepts requests
 * without a pull, so the control state lists the request by then, and no longer than its first block. Thread safe.
 */
final class BlockedRequests {
    private static final Duration RETENTION = Duration.ofSeconds(4);
    private static final int MAXIMUM_ENTRIES = 1024;

    private final MonotonicClock clock;
    private final Consumer<String> publisher;
    /** Time of blocking by fingerprint, the oldest first. */
    private final Map<String, Long> blockedNanos = new LinkedHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param publisher sends a fingerprint to all other instances immediately
     */
    BlockedRequests(MonotonicClock clock, Consumer<String> publisher) {
        this.clock = clock;
        this.publisher = publisher;
    }

    /** Blocks a request at this instance and at every reachable instance. */
    void block(String fingerprint) {
        blockLocally(fingerprint);
        publisher.accept(fingerprint);
    }

    /** Blocks the request of a fact that another instance published; ignores other facts. */
    void factReceived(InstanceId owner, Fact fact) {
        if (fact instanceof BlockedRequestFact blocked) {
            blockLocally(blocked.fingerprint());
        }
    }

    /** Blocks a request at this instance only; used for requests that another instance has blocked. */
    synchronized void blockLocally(String fingerprint) {
        long now = clock.nanos();
        blockedNanos.values().removeIf(blockedAt -> now - blockedAt > RETENTION.toNanos());
        blockedNanos.remove(fingerprint);
        blockedNanos.put(fingerprint, now);
        if (blockedNanos.size() > MAXIMUM_ENTRIES) {
            blockedNanos.remove(blockedNanos.keySet().iterator().next());
        }
    }

    synchronized boolean contains(String fingerprint) {
        Long blockedAt = blockedNanos.get(fingerprint);
        return blockedAt != null && clock.nanos() - blockedAt <= RETENTION.toNanos();
    }
}
