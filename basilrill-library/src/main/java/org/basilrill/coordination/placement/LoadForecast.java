package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.PlacementPlan.Obstacle;
import org.basilrill.coordination.placement.PlacementPlan.WaitingLoad;
import org.basilrill.state.configuration.Rules.StoreLimits;

/** Estimates when models become ready from the loads in flight and the queued loads. Stateless. */
final class LoadForecast {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private LoadForecast() {}

    /**
     * Returns the estimated time until each model is ready. Omits loads that wait for memory that no unload frees.
     *
     * @param remainingTimes remaining time of each load in flight
     */
    static Map<ModelId, Duration> untilReady(
            Map<ModelId, Duration> remainingTimes,
            List<WaitingLoad> waiting,
            StoreLimits limits,
            Duration modelLoad,
            Duration adapterLoad) {
        Map<ModelId, Duration> untilReady = new HashMap<>(remainingTimes);
        PriorityQueue<Long> endTimes = new PriorityQueue<>();
        remainingTimes.forEach((model, remaining) -> {
            if (model.adapter().isEmpty()) {
                endTimes.add(remaining.toNanos());
            }
        });
        long interval = (long) (NANOS_PER_SECOND / Math.max(1e-3, limits.loadsPerSecond()));
        long earliest = 0;
        for (WaitingLoad load : waiting) {
            if (load.obstacle() == Obstacle.MEMORY) {
                continue;
            }
            long end;
            if (load.model().adapter().isPresent()) {
                end = adapterLoad.toNanos();
            } else {
                earliest += interval;
                while (endTimes.size() >= Math.max(1, limits.loadsInFlight())) {
                    earliest = Math.max(earliest, endTimes.poll());
                }
                end = earliest + modelLoad.toNanos();
                endTimes.add(end);
            }
            untilReady.merge(
                    load.model(),
                    Duration.ofNanos(end),
                    (first, second) -> first.compareTo(second) <= 0 ? first : second);
        }
        return untilReady;
    }
}
