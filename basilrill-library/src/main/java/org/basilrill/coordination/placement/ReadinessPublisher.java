package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.PlacementMessage.ReadinessReport;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;

/**
 * Reports to the instances with waiting requests when the models become ready. Not thread safe; guarded by the
 * controller.
 */
final class ReadinessPublisher {
    private static final long INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    private final DemandAggregator demand;
    private final PlacementMessenger messenger;
    private long publishedNanos = Long.MIN_VALUE / 2;
    private boolean publicationRequested;

    ReadinessPublisher(DemandAggregator demand, PlacementMessenger messenger) {
        this.demand = demand;
        this.messenger = messenger;
    }

    /** Requests a publication after the next planning run, because requests began to wait. */
    void requestPublication() {
        publicationRequested = true;
    }

    /** Adds the readiness reports to the effects if they are due. */
    void publish(
            PlacementInput input,
            PlacementPlan plan,
            Function<OpenOrder, Duration> age,
            LoadTimes loadTimes,
            long now,
            List<Runnable> effects) {
        if (!publicationRequested && now - publishedNanos < INTERVAL_NANOS) {
            return;
        }
        Map<InstanceId, Collection<ModelId>> waiting = demand.waitingModels();
        publicationRequested = false;
        publishedNanos = now;
        if (waiting.isEmpty()) {
            return;
        }
        Duration modelLoad = loadTimes.modelLoadTime(input.rules().storeLimits());
        Map<ModelId, Duration> forecast = LoadForecast.untilReady(
                remainingLoadTimes(input, plan, age, modelLoad, loadTimes.adapterLoadTime()),
                plan.waitingLoads(),
                input.rules().storeLimits(),
                modelLoad,
                loadTimes.adapterLoadTime());
        waiting.forEach((instance, models) -> {
            Map<ModelId, Duration> forecastForInstance = new HashMap<>();
            models.stream()
                    .filter(forecast::containsKey)
                    .forEach(model -> forecastForInstance.put(model, forecast.get(model)));
            if (!forecastForInstance.isEmpty()) {
                effects.add(() -> messenger.send(instance, new ReadinessReport(forecastForInstance)));
            }
        });
    }

    private static Map<ModelId, Duration> remainingLoadTimes(
            PlacementInput input,
            PlacementPlan plan,
            Function<OpenOrder, Duration> age,
            Duration modelLoad,
            Duration adapterLoad) {
        Map<ModelId, Duration> remaining = new HashMap<>();
        for (LedgerRow row : input.rows()) {
            for (OpenOrder order : row.openOrders()) {
                if (order.kind() == OrderKind.LOAD_MODEL || order.kind() == OrderKind.LOAD_ADAPTER) {
                    Duration loadTime = order.kind() == OrderKind.LOAD_MODEL ? modelLoad : adapterLoad;
                    putMinimum(remaining, order.model(), loadTime.minus(age.apply(order)));
                }
            }
        }
        plan.orders().stream()
                .filter(order -> order.bytes() > 0)
                .forEach(order -> putMinimum(remaining, order.model(), order.loadsModel() ? modelLoad : adapterLoad));
        return remaining;
    }

    private static void putMinimum(Map<ModelId, Duration> remaining, ModelId model, Duration duration) {
        Duration bounded = duration.isNegative() ? Duration.ZERO : duration;
        remaining.merge(model, bounded, (first, second) -> first.compareTo(second) <= 0 ? first : second);
    }
}
