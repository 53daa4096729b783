package org.basilrill.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Times to the first byte of the targets of each service, without the time in which they read the prompts. Not thread
 * safe; guarded by its owner.
 */
final class FirstByteTimes {
    /** Weight of the last response in the average of a target. */
    private static final double LAST_WEIGHT = 0.2;

    private final Map<TargetId, Average> averages = new HashMap<>();

    /** Adds the time of a complete response. */
    void add(TargetAnnouncement target, double nanos) {
        Average known = averages.get(target.id());
        if (known == null || known.incarnation() != target.incarnation()) {
            averages.put(target.id(), new Average(target.service(), target.incarnation(), nanos));
        } else {
            double next = known.nanos() + LAST_WEIGHT * (nanos - known.nanos());
            averages.put(target.id(), new Average(target.service(), target.incarnation(), next));
        }
    }

    void remove(TargetId target) {
        averages.remove(target);
    }

    /** Returns the median of the other targets of the service that match; empty if none has responded. */
    OptionalDouble medianOfOthers(TargetAnnouncement target, Predicate<TargetId> included) {
        double[] sorted = averages.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(target.id())
                        && entry.getValue().service().equals(target.service())
                        && included.test(entry.getKey()))
                .mapToDouble(entry -> entry.getValue().nanos())
                .sorted()
                .toArray();
        return sorted.length == 0 ? OptionalDouble.empty() : OptionalDouble.of(sorted[(sorted.length - 1) / 2]);
    }

    /** Average of one incarnation of a target. */
    private record Average(Optional<String> service, long incarnation, double nanos) {}
}
