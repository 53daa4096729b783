package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.basilrill.api.MonotonicClock;

/**
 * Requests that were blocked lately, here or at another instance. The control state names them, too, but reaches an
 * instance only with its next pull; a request resent through another instance in that time cost a third target. An
 * entry is kept until the control state must have arrived, or the instance refuses new requests. Thread safe.
 */
final class BlockedRequests {
    private static final Duration RETENTION = Duration.ofMinutes(1);
    private static final int MAXIMUM_ENTRIES = 1024;

    private final MonotonicClock clock;
    private final Consumer<String> publisher;
    /** Time of the block by fingerprint, the oldest first. */
    private final Map<String, Long> blockedNanos = new LinkedHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param publisher sends a fingerprint to every other instance at once
     */
    BlockedRequests(MonotonicClock clock, Consumer<String> publisher) {
        this.clock = clock;
        this.publisher = publisher;
    }

    /** Blocks a request here and at every instance that can be reached. */
    void block(String fingerprint) {
        learn(fingerprint);
        publisher.accept(fingerprint);
    }

    /** Blocks a request here, because another instance has blocked it. */
    synchronized void learn(String fingerprint) {
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
