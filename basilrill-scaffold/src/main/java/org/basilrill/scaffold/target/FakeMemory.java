package org.basilrill.scaffold.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.TargetOrders.Order;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * Simulates the accelerator memory of a target. It executes each target order at most once, by order id, and records
 * the peak memory use, so that a test can check whether memory was ever overcommitted. Thread safe.
 */
final class FakeMemory {
    private final boolean enforcesFencing;
    private final Duration loadDuration;
    private final ScheduledExecutorService timer;
    private final Map<ModelId, LoadedModel> contents;
    /** Models that are loading; a resident older version serves requests until the load is done. */
    private final Map<ModelId, LoadedModel> loading = new HashMap<>();

    private final Map<String, Optional<OrderOutcome>> orders = new HashMap<>();
    private long highestFencingNumber;
    private long peakBytes;

    FakeMemory(FakeTargetSettings settings, ScheduledExecutorService timer) {
        this.enforcesFencing = settings.enforcesFencing();
        this.loadDuration = settings.loadDuration();
        this.timer = timer;
        this.contents = new HashMap<>(settings.contents());
        this.peakBytes = usedBytes();
    }

    synchronized Map<ModelId, LoadedModel> contents() {
        Map<ModelId, LoadedModel> reported = new HashMap<>(loading);
        reported.putAll(contents);
        return reported;
    }

    synchronized long peakBytes() {
        return peakBytes;
    }

    synchronized Optional<OrderOutcome> outcome(String orderId) {
        return orders.getOrDefault(orderId, Optional.empty());
    }

    synchronized Optional<OrderOutcome> execute(Order order) {
        if (orders.containsKey(order.orderId())) {
            return orders.get(order.orderId());
        }
        if (enforcesFencing && order.fencingNumber() < highestFencingNumber) {
            return recordOutcome(order, OrderOutcome.REFUSED_STALE);
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        if (order.kind() == OrderKind.UNLOAD_MODEL || order.kind() == OrderKind.UNLOAD_ADAPTER) {
            contents.remove(order.model());
            return recordOutcome(order, OrderOutcome.DONE);
        }
        if (order.kind() == OrderKind.CHANGE_ROLE) {
            return recordOutcome(order, OrderOutcome.DONE);
        }
        orders.put(order.orderId(), Optional.empty());
        loading.put(order.model(), new LoadedModel(order.version(), order.bytes(), false));
        peakBytes = Math.max(peakBytes, usedBytes());
        timer.schedule(() -> finishLoad(order), loadDuration.toMillis(), TimeUnit.MILLISECONDS);
        return Optional.empty();
    }

    private synchronized void finishLoad(Order order) {
        loading.remove(order.model());
        contents.put(order.model(), new LoadedModel(order.version(), order.bytes(), true));
        recordOutcome(order, OrderOutcome.DONE);
    }

    private Optional<OrderOutcome> recordOutcome(Order order, OrderOutcome outcome) {
        orders.put(order.orderId(), Optional.of(outcome));
        return Optional.of(outcome);
    }

    private long usedBytes() {
        return Stream.concat(contents.values().stream(), loading.values().stream())
                .mapToLong(LoadedModel::memoryBytes)
                .sum();
    }
}
