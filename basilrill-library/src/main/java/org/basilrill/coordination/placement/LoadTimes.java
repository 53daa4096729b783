package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.basilrill.state.configuration.Rules.StoreLimits;
import org.basilrill.state.control.OrderKind;

/** Exponentially weighted averages of load durations. Not thread safe; guarded by the controller. */
final class LoadTimes {
    /** Weight of the latest load; about the last ten loads dominate the average. */
    private static final double WEIGHT = 0.2;

    /** Estimate before the first load; loading an adapter takes 5 to 14 ms. */
    private static final double INITIAL_ADAPTER_NANOS = Duration.ofMillis(14).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<OrderKind, Double> averages = new EnumMap<>(OrderKind.class);

    void add(OrderKind kind, Duration duration) {
        averages.merge(kind, (double) duration.toNanos(), (old, last) -> old + WEIGHT * (last - old));
    }

    Duration adapterLoadTime() {
        return Duration.ofNanos((long) (double) averages.getOrDefault(OrderKind.LOAD_ADAPTER, INITIAL_ADAPTER_NANOS));
    }

    /**
     * Returns the average; before the first load, the duration at which all slots of the store are in use at its rate.
     */
    Duration modelLoadTime(StoreLimits limits) {
        double initial = limits.loadsInFlight() / Math.max(1e-3, limits.loadsPerSecond()) * NANOS_PER_SECOND;
        return Duration.ofNanos((long) (double) averages.getOrDefault(OrderKind.LOAD_MODEL, initial));
    }
}
