package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.PlacementStatus.MemoryStatus;
import org.basilrill.coordination.placement.PlacementStatus.ModelStatus;
import org.basilrill.coordination.placement.PlacementStatus.OrderStatus;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;

/** Builds the status of the placement. Stateless. */
final class StatusReport {
    private StatusReport() {}

    static PlacementStatus of(
            Observation observation,
            Rules rules,
            Map<ModelId, ModelDemand> demand,
            Map<String, PendingOrder> pendingOrders,
            Map<String, PlacementReason> reasons,
            Optional<PlacementPlan> plan) {
        Map<ModelId, TreeSet<TargetId>> ready = new TreeMap<>();
        rules.models().keySet().forEach(model -> ready.put(model, new TreeSet<>()));
        rules.adapters().keySet().forEach(model -> ready.put(model, new TreeSet<>()));
        observation.announcements().stream()
                .filter(announcement -> !announcement.leaving())
                .forEach(announcement -> announcement.contents().forEach((model, loaded) -> {
                    if (loaded.ready()) {
                        ready.computeIfAbsent(model, absent -> new TreeSet<>()).add(announcement.id());
                    }
                }));
        List<ModelStatus> models = new ArrayList<>();
        ready.forEach((model, targets) ->
                models.add(new ModelStatus(model, List.copyOf(targets), demand.getOrDefault(model, ModelDemand.NONE))));
        List<MemoryStatus> targets = observation.rows().stream()
                .map(row -> new MemoryStatus(
                        row.target(),
                        row.capacityBytes(),
                        row.reservedBytes(),
                        observation.current(row.target()).isPresent()))
                .toList();
        List<OrderStatus> orders = new ArrayList<>();
        Map<String, OpenOrder> openOrders = observation.openOrders();
        new TreeMap<>(openOrders).values().forEach(order -> orders.add(status(order, true, reasons)));
        new TreeMap<>(pendingOrders)
                .values().stream()
                        .filter(pendingOrder ->
                                !openOrders.containsKey(pendingOrder.command().orderId()))
                        .forEach(pendingOrder -> orders.add(status(pendingOrder.asOpenOrder(), false, reasons)));
        return new PlacementStatus(
                plan.isPresent(),
                models,
                targets,
                orders,
                plan.map(PlacementPlan::waitingLoads).orElse(List.of()));
    }

    private static OrderStatus status(OpenOrder order, boolean committed, Map<String, PlacementReason> reasons) {
        return new OrderStatus(order, committed, Optional.ofNullable(reasons.get(order.orderId())));
    }
}
