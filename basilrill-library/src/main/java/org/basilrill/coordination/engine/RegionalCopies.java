package org.basilrill.coordination.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.ModelDemand;
import org.basilrill.state.configuration.Residency;
import org.basilrill.state.target.EngineOrder.Action;

/**
 * Copies that models need in certain data centres, because some of their requests may be served only there. A need that
 * no engine could meet is left out. Not thread safe; used for one decision.
 */
final class RegionalCopies {
    private final Collection<EngineState> engines;
    /** Needs of models, with those of their adapters, and of adapters. */
    private final Map<ModelId, Set<Residency>> residencies = new TreeMap<>();

    RegionalCopies(Collection<EngineState> engines, Map<ModelId, ModelDemand> demand) {
        this.engines = engines;
        demand.forEach((model, modelDemand) -> modelDemand.residencies().forEach(residency -> {
            if (engines.stream().anyMatch(engine -> isUsable(engine) && allows(residency, engine))) {
                residencies.computeIfAbsent(model, absent -> new HashSet<>()).add(residency);
                residencies
                        .computeIfAbsent(model.base(), absent -> new HashSet<>())
                        .add(residency);
            }
        }));
    }

    /** A model or adapter that needs a copy at an engine where the residency allows it. */
    record Need(ModelId model, Residency residency) {
        boolean isMetBy(EngineState engine) {
            return allows(residency, engine);
        }
    }

    /** Returns the models that lack a copy, resident or on its way, with regard to the orders planned so far. */
    List<Need> missingModels(Collection<PlannedOrder> planned) {
        return missing(planned).stream()
                .filter(need -> need.model().adapter().isEmpty())
                .toList();
    }

    /** Returns the adapters that lack a copy although their model has one. */
    List<Need> missingAdapters(Collection<PlannedOrder> planned) {
        return missing(planned).stream()
                .filter(need -> need.model().adapter().isPresent())
                .toList();
    }

    /** Orders engines where a copy meets some need of the model first. */
    Comparator<EngineState> mostNeeded(ModelId model) {
        Set<Residency> needs = residencies.getOrDefault(model, Set.of());
        return Comparator.comparingLong(engine ->
                -needs.stream().filter(residency -> allows(residency, engine)).count());
    }

    /** Returns whether the ready copy at the engine is the only one where some residency allows it. */
    boolean isLast(EngineState engine, ModelId model) {
        return residencies.getOrDefault(model, Set.of()).stream()
                .filter(residency -> allows(residency, engine))
                .anyMatch(residency -> engines.stream()
                        .noneMatch(other -> other != engine
                                && isUsable(other)
                                && allows(residency, other)
                                && other.readyModels().contains(model)));
    }

    private List<Need> missing(Collection<PlannedOrder> planned) {
        List<Need> missing = new ArrayList<>();
        residencies.forEach((model, allowed) -> {
            for (Residency residency : allowed) {
                boolean met = engines.stream()
                        .anyMatch(engine -> isUsable(engine) && allows(residency, engine) && holds(engine, model));
                boolean ordered = planned.stream()
                        .anyMatch(order -> order.action() == Action.LOAD
                                && order.model().equals(model)
                                && allows(residency, order.engine()));
                if (!met && !ordered) {
                    missing.add(new Need(model, residency));
                }
            }
        });
        return missing;
    }

    private static boolean holds(EngineState engine, ModelId model) {
        if (model.adapter().isPresent()) {
            return engine.hasAdapter(model) && engine.isResidentOrLoading(model.base());
        }
        return engine.isResidentOrLoading(model) || engine.reservedModel().equals(Optional.of(model));
    }

    private static boolean isUsable(EngineState engine) {
        return !engine.refusesConnections();
    }

    private static boolean allows(Residency residency, EngineState engine) {
        return residency.allows(engine.announcement().dataCentre());
    }
}
