package org.basilrill.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
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
 * Everything known of one owner. The version never decreases within an incarnation, and no item has a version above
 * it. Not thread safe; guarded by the lock of {@link GossipState}.
 */
final class OwnerState {
    private final InstanceId owner;
    private final long incarnation;
    private final Map<String, Item> items = new LinkedHashMap<>();
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
        items.put(fact.key(), new Item(version, fact));
    }

    void advance(long nowNanos) {
        version++;
        advancedAtNanos = nowNanos;
    }

    <T extends Fact> Optional<T> fact(Class<T> type) {
        for (Item item : items.values()) {
            if (type.isInstance(item.fact())) {
                return Optional.of(type.cast(item.fact()));
            }
        }
        return Optional.empty();
    }

    <T extends Fact> Stream<T> facts(Class<T> type) {
        return items.values().stream().map(Item::fact).filter(type::isInstance).map(type::cast);
    }

    /** Copies the facts of an earlier incarnation of the same owner, with new versions. */
    void adopt(OwnerState earlier) {
        earlier.items.values().forEach(item -> put(item.fact()));
    }

    /** Returns the oldest changes after a version, at most {@code maximumItems} of them. */
    OwnerDelta deltaAfter(long fromVersion, int maximumItems, long ageMillis) {
        List<Item> newer = new ArrayList<>(items.values().stream()
                .filter(item -> item.version() > fromVersion)
                .sorted(Comparator.comparingLong(Item::version))
                .toList());
        long continues = lastItemVersionUpTo(fromVersion);
        if (newer.size() <= maximumItems) {
            return new OwnerDelta(owner, incarnation, continues, version, newer, ageMillis);
        }
        List<Item> oldest = newer.subList(0, maximumItems);
        long lastVersion = oldest.get(oldest.size() - 1).version();
        return new OwnerDelta(owner, incarnation, continues, lastVersion, oldest, ageMillis);
    }

    /** Applies a delta of the same incarnation; returns the facts that were new. */
    List<Fact> apply(OwnerDelta delta, long nowNanos) {
        if (delta.fromVersion() > version || delta.toVersion() <= version) {
            return List.of();
        }
        List<Fact> news = new ArrayList<>();
        for (Item item : delta.items()) {
            Item held = items.get(item.fact().key());
            if (held == null || held.version() < item.version()) {
                items.put(item.fact().key(), item);
                news.add(item.fact());
            }
        }
        version = delta.toVersion();
        // What a relay has held for long does not show that the owner is alive.
        long heardNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, delta.ageMillis()));
        advancedAtNanos = heardNanos - advancedAtNanos > 0 ? heardNanos : advancedAtNanos;
        return news;
    }

    /** Versions without an item only show that the owner is alive, so a receiver that lacks them misses nothing. */
    private long lastItemVersionUpTo(long limit) {
        return items.values().stream()
                .mapToLong(Item::version)
                .filter(itemVersion -> itemVersion <= limit)
                .max()
                .orElse(0);
    }
}
