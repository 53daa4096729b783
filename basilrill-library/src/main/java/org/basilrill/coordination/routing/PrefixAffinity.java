package org.basilrill.coordination.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.basilrill.api.TargetId;

/**
 * Tracks which prompt prefixes each target has probably cached, from the requests this instance sent and from cache
 * events. A wrong entry costs only speed. The number of hashes per target is bounded; the least recently used are
 * evicted first. Thread safe: one lock per target.
 */
public final class PrefixAffinity {
    /**
     * 4,096 hashes of about 100 bytes at 600 targets would be 240 MB; 512 hashes keep it near 30 MB of a 128 MB heap.
     */
    private static final int HASHES_PER_TARGET = 512;

    /** A gap in the events may have hidden an eviction, so entries from before the gap count half. */
    private static final double WEIGHT_BEFORE_GAP = 0.5;

    private final Map<TargetId, Cache> caches = new ConcurrentHashMap<>();

    /** Records that a prompt with these prefixes, shortest first, was sent to the target. */
    public void requestRouted(TargetId target, long incarnation, List<Long> prefixHashes) {
        if (prefixHashes.isEmpty()) {
            return;
        }
        cacheOf(target, incarnation).ifPresent(cache -> cache.requestRouted(prefixHashes));
    }

    /** Applies a cache event. Events of an earlier incarnation are ignored. */
    public void received(CacheEvent event) {
        cacheOf(event.target(), event.incarnation()).ifPresent(cache -> cache.received(event));
    }

    /** Returns the estimated fraction of the prompt that is cached at the target, 0 to 1. */
    public double matchedFraction(TargetId target, long incarnation, List<Long> prefixHashes) {
        Cache cache = caches.get(target);
        if (prefixHashes.isEmpty() || cache == null || cache.incarnation != incarnation) {
            return 0;
        }
        return cache.matched(prefixHashes) / prefixHashes.size();
    }

    /** Returns the estimated number of prompt tokens that are cached at the target. */
    public double cachedTokens(TargetId target, long incarnation, Prompt prompt) {
        Cache cache = caches.get(target);
        if (prompt.isEmpty() || cache == null || cache.incarnation != incarnation) {
            return 0;
        }
        double parts = cache.matched(prompt.prefixHashes());
        int whole = (int) parts;
        double tokens = prompt.tokensOfFirstParts(whole);
        return whole < prompt.partTokens().size()
                ? tokens + (parts - whole) * prompt.partTokens().get(whole)
                : tokens;
    }

    /** Removes the entries of a target that has expired. */
    public void removeTarget(TargetId target) {
        caches.remove(target);
    }

    private Optional<Cache> cacheOf(TargetId target, long incarnation) {
        Cache current = caches.compute(
                target,
                (id, existing) ->
                        existing == null || existing.incarnation < incarnation ? new Cache(incarnation) : existing);
        return current.incarnation == incarnation ? Optional.of(current) : Optional.empty();
    }

    /** The estimated cache content of one incarnation of a target. Thread safe. */
    private static final class Cache {
        private final long incarnation;
        private final Map<Long, CacheRecord> byHash = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, CacheRecord> eldest) {
                return size() > HASHES_PER_TARGET;
            }
        };
        private long lastSequence;
        private long gapSequence;

        Cache(long incarnation) {
            this.incarnation = incarnation;
        }

        synchronized void requestRouted(List<Long> hashes) {
            hashes.forEach(hash -> byHash.put(hash, new CacheRecord(lastSequence, true)));
        }

        synchronized void received(CacheEvent event) {
            boolean gap = lastSequence > 0 && event.sequence() > lastSequence + 1;
            if (gap) {
                gapSequence = event.sequence();
            }
            lastSequence = Math.max(lastSequence, event.sequence());
            event.evicted().forEach(hash -> update(hash, new CacheRecord(event.sequence(), false)));
            event.stored().forEach(hash -> update(hash, new CacheRecord(event.sequence(), true)));
        }

        synchronized double matched(List<Long> hashes) {
            double matched = 0;
            for (Long hash : hashes) {
                CacheRecord existing = byHash.get(hash);
                if (existing == null || !existing.cached()) {
                    return matched;
                }
                matched += existing.sequence() < gapSequence ? WEIGHT_BEFORE_GAP : 1;
            }
            return matched;
        }

        /** Stores the record, unless a later event has already reported the same hash. */
        private void update(Long hash, CacheRecord newer) {
            CacheRecord existing = byHash.get(hash);
            if (existing == null || existing.sequence() <= newer.sequence()) {
                byHash.put(hash, newer);
            }
        }
    }

    /** The sequence number of the last event for a hash, and whether the hash was cached after it. */
    private record CacheRecord(long sequence, boolean cached) {}
}
