package org.basilrill.state.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.basilrill.api.TargetId;

/**
 * Index of the targets that serve a model or a service. Thread safe: split into shards by key, each guarded by its own
 * lock. The registry ensures that only one thread at a time changes the entries of a target.
 */
final class DestinationIndex<K> {
    private static final int SHARDS = 16;

    private final List<Map<K, Map<TargetId, RegisteredAnnouncement>>> shards = new ArrayList<>();

    DestinationIndex() {
        for (int number = 0; number < SHARDS; number++) {
            shards.add(new HashMap<>());
        }
    }

    void put(K key, RegisteredAnnouncement registered) {
        Map<K, Map<TargetId, RegisteredAnnouncement>> shard = shardOf(key);
        synchronized (shard) {
            shard.computeIfAbsent(key, absent -> new TreeMap<>())
                    .put(registered.announcement().id(), registered);
        }
    }

    void remove(K key, TargetId target) {
        Map<K, Map<TargetId, RegisteredAnnouncement>> shard = shardOf(key);
        synchronized (shard) {
            Map<TargetId, RegisteredAnnouncement> targets = shard.get(key);
            if (targets == null) {
                return;
            }
            targets.remove(target);
            if (targets.isEmpty()) {
                shard.remove(key);
            }
        }
    }

    /** Returns the unexpired targets of the key, ordered by name so that simulations with one seed are reproducible. */
    List<TargetAnnouncement> find(K key, long nowNanos) {
        Map<K, Map<TargetId, RegisteredAnnouncement>> shard = shardOf(key);
        synchronized (shard) {
            Map<TargetId, RegisteredAnnouncement> targets = shard.getOrDefault(key, Map.of());
            List<TargetAnnouncement> found = new ArrayList<>(targets.size());
            for (RegisteredAnnouncement registered : targets.values()) {
                if (registered.isValidAt(nowNanos)) {
                    found.add(registered.announcement());
                }
            }
            return found;
        }
    }

    private Map<K, Map<TargetId, RegisteredAnnouncement>> shardOf(K key) {
        return shards.get(Math.floorMod(key.hashCode(), SHARDS));
    }
}
