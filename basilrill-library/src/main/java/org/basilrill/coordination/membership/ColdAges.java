package org.basilrill.coordination.membership;

import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.membership.Fact.TargetFact;
import org.basilrill.coordination.membership.GossipMessage.Item;
import org.basilrill.coordination.membership.GossipMessage.OwnerDelta;

/**
 * Reduces the time until a target is warm by the time for which each instance keeps the fact before it passes it on.
 * Without that, an instance that learns of the target late would take it for cold for longer, and tell others. Other
 * facts stay as they are. Immutable; thread safe if the clock is.
 */
record ColdAges(MonotonicClock clock) {
    /** Returns a fact that was published or received just now. */
    Fact stamped(Fact fact) {
        return fact instanceof TargetFact target && target.announcement().coldRemainingMillis() > 0
                ? new TargetFact(target.announcement(), clock.nanos())
                : fact;
    }

    /** Returns a stamped fact as it is right now. */
    <T extends Fact> T aged(T fact, Class<T> type) {
        if (fact instanceof TargetFact target && target.announcement().coldRemainingMillis() > 0) {
            Duration age = Duration.ofNanos(clock.nanos() - target.asOfNanos());
            return type.cast(new TargetFact(target.announcement().coldAgedBy(age)));
        }
        return fact;
    }

    /** Returns the deltas of a message that was received just now. */
    List<OwnerDelta> received(List<OwnerDelta> deltas) {
        return map(deltas, this::stamped);
    }

    /** Returns the deltas of a message that is sent now. */
    List<OwnerDelta> sent(List<OwnerDelta> deltas) {
        return map(deltas, fact -> aged(fact, Fact.class));
    }

    private static List<OwnerDelta> map(List<OwnerDelta> deltas, UnaryOperator<Fact> change) {
        if (deltas.stream().noneMatch(ColdAges::hasColdTarget)) {
            return deltas;
        }
        return deltas.stream()
                .map(delta -> withItems(
                        delta,
                        delta.items().stream()
                                .map(item -> new Item(item.version(), change.apply(item.fact())))
                                .toList()))
                .toList();
    }

    private static boolean hasColdTarget(OwnerDelta delta) {
        return delta.items().stream().anyMatch(item -> isCold(item.fact()));
    }

    private static boolean isCold(Fact fact) {
        return fact instanceof TargetFact target && target.announcement().coldRemainingMillis() > 0;
    }

    private static OwnerDelta withItems(OwnerDelta delta, List<Item> items) {
        return new OwnerDelta(
                delta.owner(), delta.incarnation(), delta.fromVersion(), delta.toVersion(), items, delta.ageMillis());
    }
}
