package org.basilrill.coordination.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.engine.RegionalCopies.Need;
import org.basilrill.coordination.placement.ModelDemand;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.EngineOrder.Action;

/**
 * Decides which adapters the engines of a pool load and unload. First come adapters with queued requests, each placed
 * on the least loaded engine on which its model is ready. Free slots are then used for the adapters in demand with too
 * few copies. An adapter is evicted only after the requests that it was loaded for have had time to arrive, and only if
 * it is nearly unused or has much less demand than its replacement: an engine accepts no other order until the running
 * requests of the adapter being unloaded have ended. Free of side effects outside its own state; used by one thread at
 * a time.
 */
final class AdapterPlanner {
    /**
     * While slots are free, an adapter in demand gets this many copies, so that it stays available when an engine is
     * lost.
     */
    private static final int DESIRED_COPIES = 2;
    /** Demand in tokens per second below which an adapter is not loaded in advance. */
    private static final double NEGLIGIBLE_RATE = 100;

    /**
     * Demand in tokens per second below which an adapter probably has no running requests; corresponds to one small
     * request some seconds ago.
     */
    private static final double IDLE_RATE = 150;
    /** An adapter in use is evicted only for one with this many times its demand. */
    private static final double EVICTION_DEMAND_RATIO = 2;

    private final Rules rules;
    private final EnginePool pool;
    private final Map<ModelId, ModelDemand> demand;
    private final RegionalCopies regional;
    private final long now;
    private final List<PlannedOrder> orders = new ArrayList<>();
    private final Set<EngineState> assignedEngines = new HashSet<>();
    private final Map<ModelId, Integer> copies = new HashMap<>();
    /**
     * Copies that can serve requests: their model is resident or loading on the same engine, and the engine is not
     * leaving.
     */
    private final Map<ModelId, Integer> servingCopies = new HashMap<>();
    /** Models whose adapters have queued requests. */
    private final Set<ModelId> basesWithWaitingRequests = new HashSet<>();
    /** Number of adapters in demand, by model. */
    private final Map<ModelId, Integer> demandedAdapterCounts = new HashMap<>();

    AdapterPlanner(Rules rules, EnginePool pool, Map<ModelId, ModelDemand> demand, RegionalCopies regional, long now) {
        this.rules = rules;
        this.pool = pool;
        this.demand = demand;
        this.regional = regional;
        this.now = now;
        demand.forEach(this::count);
    }

    private void count(ModelId adapter, ModelDemand adapterDemand) {
        if (!isKnown(adapter)) {
            return;
        }
        if (adapterDemand.waiting() > 0) {
            basesWithWaitingRequests.add(adapter.base());
        }
        if (adapterDemand.waiting() > 0 || adapterDemand.shortRate() > IDLE_RATE) {
            demandedAdapterCounts.merge(adapter.base(), 1, Integer::sum);
        }
    }

    private boolean isKnown(ModelId adapter) {
        return adapter.adapter().isPresent() && rules.adapters().containsKey(adapter);
    }

    /**
     * Returns at most one order for each free engine.
     *
     * @param free engines that can be sent an order
     * @param load load of an engine; the engine with the lowest load is preferred
     */
    List<PlannedOrder> plan(
            Collection<EngineState> engines, Collection<EngineState> free, ToDoubleFunction<EngineState> load) {
        engines.forEach(this::countCopies);
        for (ModelId adapter : adaptersByDescending(ModelDemand::waiting)) {
            if (!servingCopies.containsKey(adapter)) {
                place(adapter, candidateEngines(adapter, free, load));
            }
        }
        for (Need need : regional.missingAdapters(orders)) {
            if (isKnown(need.model())) {
                List<EngineState> allowed = free.stream().filter(need::isMetBy).toList();
                place(need.model(), candidateEngines(need.model(), allowed, load));
            }
        }
        for (ModelId adapter : adaptersByDescending(ModelDemand::shortRate)) {
            boolean needsCopy = demand.get(adapter).shortRate() > NEGLIGIBLE_RATE
                    && servingCopies.getOrDefault(adapter, 0) < DESIRED_COPIES;
            if (needsCopy) {
                candidateEngines(adapter, free, load).stream()
                        .filter(this::hasFreeSlot)
                        .findFirst()
                        .ifPresent(engine -> order(engine, Action.LOAD, adapter));
            }
        }
        return orders;
    }

    /** Returns whether requests are queued for adapters for which the copies of their model lack slots. */
    boolean lacksSlots(ModelId base, int copiesOfModel) {
        return basesWithWaitingRequests.contains(base)
                && demandedAdapterCounts.getOrDefault(base, 0) > copiesOfModel * pool.adapterSlots();
    }

    /** Returns the known adapters for which the measure is positive, the highest first. */
    private List<ModelId> adaptersByDescending(ToDoubleFunction<ModelDemand> measure) {
        return demand.entrySet().stream()
                .filter(entry -> measure.applyAsDouble(entry.getValue()) > 0 && isKnown(entry.getKey()))
                .sorted(Comparator.comparingDouble(
                                (Map.Entry<ModelId, ModelDemand> entry) -> -measure.applyAsDouble(entry.getValue()))
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void countCopies(EngineState engine) {
        for (ModelId adapter : engine.adapters()) {
            copies.merge(adapter, 1, Integer::sum);
            if (engine.isResidentOrLoading(adapter.base())
                    && !engine.announcement().leaving()) {
                servingCopies.merge(adapter, 1, Integer::sum);
            }
        }
    }

    private List<EngineState> candidateEngines(
            ModelId adapter, Collection<EngineState> free, ToDoubleFunction<EngineState> load) {
        return free.stream()
                .filter(engine -> !assignedEngines.contains(engine)
                        && !engine.hasAdapter(adapter)
                        && engine.readyModels().contains(adapter.base())
                        && engine.announcement().isReadyFor(adapter.base()))
                .sorted(regional.mostNeeded(adapter).thenComparingDouble(load))
                .toList();
    }

    private boolean hasFreeSlot(EngineState engine) {
        return engine.adapters().size() < pool.adapterSlots();
    }

    private void place(ModelId adapter, List<EngineState> candidates) {
        Optional<EngineState> withFreeSlot =
                candidates.stream().filter(this::hasFreeSlot).findFirst();
        if (withFreeSlot.isPresent()) {
            order(withFreeSlot.get(), Action.LOAD, adapter);
            return;
        }
        Optional<PlannedOrder> victim = Optional.empty();
        double lowestRate = Math.max(IDLE_RATE, rateOf(adapter) / EVICTION_DEMAND_RATIO);
        for (EngineState engine : candidates) {
            for (ModelId resident : engine.adapters()) {
                boolean evictable = engine.isPastCooldown(resident, now)
                        && demand.getOrDefault(resident, ModelDemand.NONE).waiting() == 0;
                double rate = rateOf(resident) / copies.getOrDefault(resident, 1);
                if (evictable && rate < lowestRate) {
                    lowestRate = rate;
                    victim = Optional.of(new PlannedOrder(engine, Action.UNLOAD, resident));
                }
            }
        }
        victim.ifPresent(eviction -> order(eviction.engine(), eviction.action(), eviction.model()));
    }

    private double rateOf(ModelId adapter) {
        return demand.getOrDefault(adapter, ModelDemand.NONE).shortRate();
    }

    private void order(EngineState engine, Action action, ModelId model) {
        assignedEngines.add(engine);
        orders.add(new PlannedOrder(engine, action, model));
    }
}
