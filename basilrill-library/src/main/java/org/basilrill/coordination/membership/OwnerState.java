package org.basilrill.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.GossipMessage.Item;
import org.basilrill.coordination.membership.GossipMessage.OwnerDelta;

/**
 * All known facts of one owner. The version never decreases within an incarnation, and no item has a version above it.
 * Not thread safe; guarded by the lock of {@link GossipState}.
 */
final class OwnerState {
    private final InstanceId owner;
    private final long incarnation;
    private final Map<String, Item> items = new LinkedHashMap<>();
    /** The fact of each type that was applied last, so that the facts of an instance itself are found directly. */
    private final Map<Class<?>, Fact> latestByType = new HashMap<>();

    private long version;
    private long advancedAtNanos;

    OwnerState(InstanceId owner, long incarnation, long nowNanos) {
        this.owner = owner;
        this.incarnation = incarnation;
        this.advancedAtNanos = nowNanos;
    }

    long incarnation() {
        return incarnation;
    }

    long version() {
        return version;
    }

    long advancedAtNanos() {
        return advancedAtNanos;
    }

    void put(Fact fact) {
        version++;
        put(new Item(version, fact));
    }

    private void put(Item item) {
        items.put(item.fact().key(), item);
        latestByType.put(item.fact().getClass(), item.fact());
    }

    void advance(long nowNanos) {
        version++;
        advancedAtNanos = nowNanos;
    }

    /** Returns the fact of a type of which the owner has one only, under one key. */
    <T extends Fact> Optional<T> fact(Class<T> type) {
        return Optional.ofNullable(latestByType.get(type)).map(type::cast);
    }

    <T extends Fact> Stream<T> facts(Class<T> type) {
        return items.values().stream().map(Item::fact).filter(type::isInstance).map(type::cast);
    }

    /** Copies the facts of an earlier incarnation of the same owner, with new versions. */
    void copyFactsFrom(OwnerState earlier) {
        earlier.items.values().forEach(item -> put(item.fact()));
    }

    /** Returns the oldest changes after a version, at most {@code maximumItems} of them. */
    OwnerDelta deltaAfter(long fromVersion, int maximumItems, long ageMillis) {
        List<Item> newer = new ArrayList<>(items.values().stream()
                .filter(item -> item.version() > fromVersion)
                .sorted(Comparator.comparingLong(Item::version))
                .toList());
        long baseVersion = lastItemVersionUpTo(fromVersion);
        if (newer.size() <= maximumItems) {
            return new OwnerDelta(owner, incarnation, baseVersion, version, newer, ageMillis);
        }
        List<Item> oldest = newer.subList(0, maximumItems);
        long lastVersion = oldest.get(oldest.size() - 1).version();
        return new OwnerDelta(owner, incarnation, baseVersion, lastVersion, oldest, ageMillis);
    }

    /** Applies a delta of the same incarnation; returns the facts that were new. */
    List<Fact> apply(OwnerDelta delta, long nowNanos) {
        if (delta.fromVersion() > version || delta.toVersion() <= version) {
            return List.of();
        }
        List<Fact> newFacts = new ArrayList<>();
        for (Item item : delta.items()) {
            Item currentItem = items.get(item.fact().key());
            if (currentItem == null || currentItem.version() < item.version()) {
                put(item);
                newFacts.add(item.fact());
            }
        }
        version = delta.toVersion();
        // Subtracts the age reported by the relay: an old relayed version does not prove that the owner is alive.
        long lastAdvanceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, delta.ageMillis()));
        advancedAtNanos = lastAdvanceNanos - advancedAtNanos > 0 ? lastAdvanceNanos : advancedAtNanos;
        return newFacts;
    }

    /**
     * Returns the highest version of an item up to the limit. Versions without an item only prove that the owner is
     * alive, so a receiver may skip them.
     */
    private long lastItemVersionUpTo(long limit) {
        return items.values().stream()
                .mapToLong(Item::version)
                .filter(itemVersion -> itemVersion <= limit)
                .max()
                .orElse(0);
    }
}
