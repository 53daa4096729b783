package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.basilrill.state.configuration.Rules.StoreLimits;
import org.basilrill.state.control.OrderKind;

/** Averages how long loads take. Not thread safe; guarded by the controller. */
final class LoadTimes {
    /** Weight of the newest load; about the last ten count. */
    private static final double WEIGHT = 0.2;

    /** An adapter loads in 5 to 14 ms. */
    private static final double FIRST_ADAPTER_NANOS = Duration.ofMillis(14).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<OrderKind, Double> averages = new EnumMap<>(OrderKind.class);

    void add(OrderKind kind, Duration duration) {
        averages.merge(kind, (double) duration.toNanos(), (old, last) -> old + WEIGHT * (last - old));
    }

    Duration adapter() {
        return Duration.ofNanos((long) (double) averages.getOrDefault(OrderKind.LOAD_ADAPTER, FIRST_ADAPTER_NANOS));
    }

    /** Returns the average; before the first load, what keeps the store's slots full at its rate. */
    Duration model(StoreLimits limits) {
        double first = limits.loadsInFlight() / Math.max(1e-3, limits.loadsPerSecond()) * NANOS_PER_SECOND;
        return Duration.ofNanos((long) (double) averages.getOrDefault(OrderKind.LOAD_MODEL, first));
    }
}
