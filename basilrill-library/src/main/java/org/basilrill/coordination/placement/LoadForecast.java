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

/** Works out when models will be ready from the loads under way and the queue behind them. Stateless. */
final class LoadForecast {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private LoadForecast() {}

    /**
     * Returns the time until each model is ready. Leaves out loads for which there is no memory in sight.
     *
     * @param underWay time left until each load under way ends
     */
    static Map<ModelId, Duration> untilReady(
            Map<ModelId, Duration> underWay,
            List<WaitingLoad> waiting,
            StoreLimits limits,
            Duration modelLoad,
            Duration adapterLoad) {
        Map<ModelId, Duration> untilReady = new HashMap<>(underWay);
        PriorityQueue<Long> ends = new PriorityQueue<>();
        underWay.forEach((model, left) -> {
            if (model.adapter().isEmpty()) {
                ends.add(left.toNanos());
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
                while (ends.size() >= Math.max(1, limits.loadsInFlight())) {
                    earliest = Math.max(earliest, ends.poll());
                }
                end = earliest + modelLoad.toNanos();
                ends.add(end);
            }
            untilReady.merge(
                    load.model(), Duration.ofNanos(end), (left, right) -> left.compareTo(right) <= 0 ? left : right);
        }
        return untilReady;
    }
}
