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
 * Tells the instances with waiting callers when the models will be ready. Not thread safe; guarded by the controller.
 */
final class ReadinessPublisher {
    private static final long INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    private final DemandBook demand;
    private final PlacementMessenger messenger;
    private long publishedNanos = Long.MIN_VALUE / 2;
    private boolean urgent;

    ReadinessPublisher(DemandBook demand, PlacementMessenger messenger) {
        this.demand = demand;
        this.messenger = messenger;
    }

    /** Publishes after the next decision, as callers began to wait. */
    void urge() {
        urgent = true;
    }

    /** Adds the messages to the effects if they are due. */
    void publish(
            PlacementInput input,
            PlacementPlan plan,
            Function<OpenOrder, Duration> age,
            LoadTimes times,
            long now,
            List<Runnable> effects) {
        if (!urgent && now - publishedNanos < INTERVAL_NANOS) {
            return;
        }
        Map<InstanceId, Collection<ModelId>> waiting = demand.waiting();
        urgent = false;
        publishedNanos = now;
        if (waiting.isEmpty()) {
            return;
        }
        Duration modelLoad = times.model(input.rules().storeLimits());
        Map<ModelId, Duration> forecast = LoadForecast.untilReady(
                underWay(input, plan, age, modelLoad, times.adapter()),
                plan.waiting(),
                input.rules().storeLimits(),
                modelLoad,
                times.adapter());
        waiting.forEach((instance, models) -> {
            Map<ModelId, Duration> known = new HashMap<>();
            models.stream().filter(forecast::containsKey).forEach(model -> known.put(model, forecast.get(model)));
            if (!known.isEmpty()) {
                effects.add(() -> messenger.send(instance, new ReadinessReport(known)));
            }
        });
    }

    private static Map<ModelId, Duration> underWay(
            PlacementInput input,
            PlacementPlan plan,
            Function<OpenOrder, Duration> age,
            Duration modelLoad,
            Duration adapterLoad) {
        Map<ModelId, Duration> left = new HashMap<>();
        for (LedgerRow row : input.rows()) {
            for (OpenOrder order : row.openOrders()) {
                if (order.kind() == OrderKind.LOAD_MODEL || order.kind() == OrderKind.LOAD_ADAPTER) {
                    Duration whole = order.kind() == OrderKind.LOAD_MODEL ? modelLoad : adapterLoad;
                    shorter(left, order.model(), whole.minus(age.apply(order)));
                }
            }
        }
        plan.moves().stream()
                .filter(move -> move.bytes() > 0)
                .forEach(move -> shorter(left, move.model(), move.loadsModel() ? modelLoad : adapterLoad));
        return left;
    }

    private static void shorter(Map<ModelId, Duration> left, ModelId model, Duration duration) {
        Duration bounded = duration.isNegative() ? Duration.ZERO : duration;
        left.merge(model, bounded, (one, other) -> one.compareTo(other) <= 0 ? one : other);
    }
}
