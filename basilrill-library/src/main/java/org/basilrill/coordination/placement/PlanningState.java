package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.PlannedTarget.Copy;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * State of all engines and models during a planning run. Excludes targets that are not announced in the incarnation
 * that the ledger records, so that the copies of a lost target are placed again. Not thread safe.
 */
final class PlanningState {
    private final List<PlannedTarget> targets = new ArrayList<>();
    private final Map<ModelId, ModelCopies> models = new TreeMap<>();
    private final List<PlacementOrder> orders = new ArrayList<>();
    private int modelLoads;
    private int adapterLoads;

    PlanningState(PlacementInput input) {
        input.rules().models().forEach((model, rule) -> model(model).rule(rule));
        input.rules().adapters().forEach((model, rule) -> model(model).rule(rule));
        Map<TargetId, TargetAnnouncement> announced = new HashMap<>();
        input.announcements().forEach(announcement -> announced.put(announcement.id(), announcement));
        for (LedgerRow row : input.rows()) {
            TargetAnnouncement announcement = announced.get(row.target());
            if (announcement != null
                    && announcement.service().isEmpty()
                    && announcement.incarnation() == row.incarnation()) {
                add(row, announcement, input);
            }
        }
        input.demand().forEach(this::addDemand);
        for (ModelCopies copies : models.values()) {
            double rate = copies.ratePerCopy();
            copies.copies().stream()
                    .filter(copy -> !copy.isUnloading())
                    .forEach(copy -> copy.target().addRate(rate));
        }
    }

    List<PlannedTarget> targets() {
        return targets;
    }

    Collection<ModelCopies> models() {
        return models.values();
    }

    ModelCopies model(ModelId model) {
        return models.computeIfAbsent(model, ModelCopies::new);
    }

    List<PlacementOrder> orders() {
        return orders;
    }

    int modelLoads() {
        return modelLoads;
    }

    int adapterLoads() {
        return adapterLoads;
    }

    void load(PlannedTarget target, ModelCopies copies, int version, long bytes, PlacementReason reason) {
        boolean adapter = copies.model().adapter().isPresent();
        Copy before = target.copyOf(copies.model());
        Copy copy = target.load(copies.model(), version, bytes);
        if (before == null) {
            copies.copies().add(copy);
        }
        target.addRate(copies.ratePerCopy());
        if (adapter) {
            adapterLoads++;
        } else {
            modelLoads++;
        }
        OrderKind kind = adapter ? OrderKind.LOAD_ADAPTER : OrderKind.LOAD_MODEL;
        orders.add(new PlacementOrder(target.id(), target.incarnation(), kind, copies.model(), version, bytes, reason));
    }

    /** Plans the unload of a copy, or first of its adapters if it has any, as far as the target accepts orders now. */
    void unload(Copy copy, PlacementReason reason) {
        List<Copy> adapters = adaptersOn(copy);
        List<Copy> first = adapters.isEmpty() ? List.of(copy) : adapters;
        for (Copy next : first) {
            PlannedTarget target = next.target();
            if (!next.isUnloading() && target.accepts(next.model())) {
                target.unload(next);
                OrderKind kind = next.isAdapter() ? OrderKind.UNLOAD_ADAPTER : OrderKind.UNLOAD_MODEL;
                orders.add(new PlacementOrder(
                        target.id(), target.incarnation(), kind, next.model(), next.version(), 0, reason));
            }
        }
    }

    /** Returns the adapters that are reserved on the same target for the copy of a base model. */
    static List<Copy> adaptersOn(Copy copy) {
        if (copy.isAdapter()) {
            return List.of();
        }
        return copy.target().copies().stream()
                .filter(other -> other.isAdapter() && other.model().base().equals(copy.model()))
                .sorted((left, right) -> left.model().compareTo(right.model()))
                .toList();
    }

    private void add(LedgerRow row, TargetAnnouncement announcement, PlacementInput input) {
        PlannedTarget target = new PlannedTarget(
                announcement,
                row,
                !input.blockedTargets().contains(row.target()),
                input.freshTargets().contains(row.target()),
                input.avoided().getOrDefault(row.target(), Set.of()));
        targets.add(target);
        target.copies().forEach(copy -> model(copy.model()).copies().add(copy));
        row.openOrders().forEach(order -> {
            modelLoads += order.kind() == OrderKind.LOAD_MODEL ? 1 : 0;
            adapterLoads += order.kind() == OrderKind.LOAD_ADAPTER ? 1 : 0;
        });
    }

    /** Adds the demand for a model; the demand for an adapter also counts for its base model. */
    private void addDemand(ModelId model, ModelDemand demand) {
        if (models.containsKey(model)) {
            model(model).addDemand(demand);
            if (model.adapter().isPresent() && models.containsKey(model.base())) {
                model(model.base()).addDemand(demand);
            }
        }
    }
}
