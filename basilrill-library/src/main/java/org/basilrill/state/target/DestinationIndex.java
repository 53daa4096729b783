package org.basilrill.state.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.basilrill.api.TargetId;

/**
 * Finds the targets that serve a model or a service without looking at all targets. Thread safe: split into shards by
 * key, each guarded by its own lock. The registry ensures that one thread at a time changes a target.
 */
final class DestinationIndex<K> {
    private static final int SHARDS = 16;

    private final List<Map<K, Map<TargetId, HeldAnnouncement>>> shards = new ArrayList<>();

    DestinationIndex() {
        for (int number = 0; number < SHARDS; number++) {
            shards.add(new HashMap<>());
        }
    }

    void put(K key, HeldAnnouncement held) {
        Map<K, Map<TargetId, HeldAnnouncement>> shard = shardOf(key);
        synchronized (shard) {
            shard.computeIfAbsent(key, absent -> new TreeMap<>())
                    .put(held.announcement().id(), held);
        }
    }

    void remove(K key, TargetId target) {
        Map<K, Map<TargetId, HeldAnnouncement>> shard = shardOf(key);
        synchronized (shard) {
            Map<TargetId, HeldAnnouncement> targets = shard.get(key);
            if (targets == null) {
                return;
            }
            targets.remove(target);
            if (targets.isEmpty()) {
                shard.remove(key);
            }
        }
    }

    /** Returns the unexpired targets of the key, ordered by name so that runs with one seed repeat. */
    List<TargetAnnouncement> find(K key, long nowNanos) {
        Map<K, Map<TargetId, HeldAnnouncement>> shard = shardOf(key);
        synchronized (shard) {
            Map<TargetId, HeldAnnouncement> targets = shard.getOrDefault(key, Map.of());
            List<TargetAnnouncement> found = new ArrayList<>(targets.size());
            for (HeldAnnouncement held : targets.values()) {
                if (held.isValidAt(nowNanos)) {
                    found.add(held.announcement());
                }
            }
            return found;
        }
    }

    private Map<K, Map<TargetId, HeldAnnouncement>> shardOf(K key) {
        return shards.get(Math.floorMod(key.hashCode(), SHARDS));
    }
}
