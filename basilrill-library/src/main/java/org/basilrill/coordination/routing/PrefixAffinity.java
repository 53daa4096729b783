package org.basilrill.coordination.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.basilrill.api.TargetId;

/**
 * Remembers which prompt prefixes each target probably has cached, from this instance's own routing and from cache
 * events. A wrong memory costs speed only. Each target keeps a bounded number of hashes, the least recently used are
 * dropped first. Thread safe: one lock per target.
 */
public final class PrefixAffinity {
    /** 4,096 hashes of about 100 bytes at 600 targets would be 240 MB; 512 keep it near 30 MB of a 128 MB heap. */
    private static final int HASHES_PER_TARGET = 512;

    /** An event gap may have hidden an eviction, so what was known before it counts half. */
    private static final double TRUST_AFTER_GAP = 0.5;

    private final Map<TargetId, Cache> caches = new ConcurrentHashMap<>();

    /** Notes that a prompt with these prefixes, shortest first, was sent to the target. */
    public void routed(TargetId target, long incarnation, List<Long> prefixHashes) {
        if (prefixHashes.isEmpty()) {
            return;
        }
        cacheOf(target, incarnation).ifPresent(cache -> cache.routed(prefixHashes));
    }

    /** Takes a cache event; one of an earlier incarnation has no effect. */
    public void received(CacheEvent event) {
        cacheOf(event.target(), event.incarnation()).ifPresent(cache -> cache.received(event));
    }

    /** Returns the part of the prompt that is probably cached at the target, 0 to 1. */
    public double matchedPart(TargetId target, long incarnation, List<Long> prefixHashes) {
        Cache cache = caches.get(target);
        if (prefixHashes.isEmpty() || cache == null || cache.incarnation != incarnation) {
            return 0;
        }
        return cache.matched(prefixHashes) / prefixHashes.size();
    }

    /** Returns the tokens of the prompt that are probably cached at the target. */
    public double cachedTokens(TargetId target, long incarnation, Prompt prompt) {
        Cache cache = caches.get(target);
        if (prompt.isEmpty() || cache == null || cache.incarnation != incarnation) {
            return 0;
        }
        double parts = cache.matched(prompt.prefixHashes());
        int whole = (int) parts;
        double tokens = prompt.tokensOf(whole);
        return whole < prompt.partTokens().size()
                ? tokens + (parts - whole) * prompt.partTokens().get(whole)
                : tokens;
    }

    /** Drops what is known of a target that is gone. */
    public void forget(TargetId target) {
        caches.remove(target);
    }

    private Optional<Cache> cacheOf(TargetId target, long incarnation) {
        Cache current = caches.compute(
                target,
                (id, known) -> known == null || known.incarnation < incarnation ? new Cache(incarnation) : known);
        return current.incarnation == incarnation ? Optional.of(current) : Optional.empty();
    }

    /** What one incarnation of a target probably has cached. Thread safe. */
    private static final class Cache {
        private final long incarnation;
        private final Map<Long, Knowledge> byHash = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Knowledge> eldest) {
                return size() > HASHES_PER_TARGET;
            }
        };
        private long lastSequence;
        private long trustedFrom;

        Cache(long incarnation) {
            this.incarnation = incarnation;
        }

        synchronized void routed(List<Long> hashes) {
            hashes.forEach(hash -> byHash.put(hash, new Knowledge(lastSequence, true)));
        }

        synchronized void received(CacheEvent event) {
            boolean gap = lastSequence > 0 && event.sequence() > lastSequence + 1;
            if (gap) {
                trustedFrom = event.sequence();
            }
            lastSequence = Math.max(lastSequence, event.sequence());
            event.evicted().forEach(hash -> note(hash, new Knowledge(event.sequence(), false)));
            event.stored().forEach(hash -> note(hash, new Knowledge(event.sequence(), true)));
        }

        synchronized double matched(List<Long> hashes) {
            double matched = 0;
            for (Long hash : hashes) {
                Knowledge known = byHash.get(hash);
                if (known == null || !known.cached()) {
                    return matched;
                }
                matched += known.sequence() < trustedFrom ? TRUST_AFTER_GAP : 1;
            }
            return matched;
        }

        /** A late event does not overwrite what a later event said about the same hash. */
        private void note(Long hash, Knowledge knowledge) {
            Knowledge known = byHash.get(hash);
            if (known == null || known.sequence() <= knowledge.sequence()) {
                byHash.put(hash, knowledge);
            }
        }
    }

    /** The event that last mentioned a hash, and whether the hash was cached then. */
    private record Knowledge(long sequence, boolean cached) {}
}
