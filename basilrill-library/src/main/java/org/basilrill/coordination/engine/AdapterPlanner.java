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
import org.basilrill.coordination.placement.ModelDemand;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.EngineOrder.Action;

/**
 * Decides which adapters the engines of a pool load and unload: first those that requests wait for, at the least
 * loaded engine that holds the model; then, where slots are free, those in demand that have fewest copies. An adapter
 * makes way only once the requests it was loaded for have come, and only if it is hardly used, or used much less than
 * the one it makes way for: an engine takes no other order until the runs of an adapter on its way out have ended.
 * Pure; used by one thread at a time.
 */
final class AdapterPlanner {
    /** An adapter in demand gets this many copies while slots are free, so that the loss of an engine is not felt. */
    private static final int WANTED_COPIES = 2;
    /** Demand in tokens per second below which an adapter is not loaded in advance. */
    private static final double NEGLIGIBLE_RATE = 100;

    /** Demand in tokens per second below which an adapter has probably no runs: a small request some seconds ago. */
    private static final double IDLE_RATE = 150;
    /** An adapter in use makes way only for one with this many times its demand. */
    private static final double WORTH_WAITING = 2;

    private final Rules rules;
    private final EnginePool pool;
    private final Map<ModelId, ModelDemand> demand;
    private final long now;
    private final List<PlannedOrder> orders = new ArrayList<>();
    private final Set<EngineState> taken = new HashSet<>();
    private final Map<ModelId, Integer> copies = new HashMap<>();
    /** Copies that can serve: their model is there as well, and the engine does not leave. */
    private final Map<ModelId, Integer> serving = new HashMap<>();
    /** Models whose adapters requests wait for. */
    private final Set<ModelId> waitedFor = new HashSet<>();
    /** Adapters in demand by their model. */
    private final Map<ModelId, Integer> wanted = new HashMap<>();

    AdapterPlanner(Rules rules, EnginePool pool, Map<ModelId, ModelDemand> demand, long now) {
        this.rules = rules;
        this.pool = pool;
        this.demand = demand;
        this.now = now;
        demand.forEach(this::count);
    }

    private void count(ModelId adapter, ModelDemand wish) {
        if (!isKnown(adapter)) {
            return;
        }
        if (wish.waiting() > 0) {
            waitedFor.add(adapter.base());
        }
        if (wish.waiting() > 0 || wish.shortRate() > IDLE_RATE) {
            wanted.merge(adapter.base(), 1, Integer::sum);
        }
    }

    private boolean isKnown(ModelId adapter) {
        return adapter.adapter().isPresent() && rules.adapters().containsKey(adapter);
    }

    /**
     * Returns at most one order for each free engine.
     *
     * @param free engines that may get an order
     * @param load what an engine carries; the lowest goes first
     */
    List<PlannedOrder> plan(
            Collection<EngineState> engines, Collection<EngineState> free, ToDoubleFunction<EngineState> load) {
        engines.forEach(this::countCopies);
        for (ModelId adapter : wanted(ModelDemand::waiting)) {
            if (!serving.containsKey(adapter)) {
                place(adapter, hosts(adapter, free, load));
            }
        }
        for (ModelId adapter : wanted(ModelDemand::shortRate)) {
            boolean worthIt = demand.get(adapter).shortRate() > NEGLIGIBLE_RATE
                    && serving.getOrDefault(adapter, 0) < WANTED_COPIES;
            if (worthIt) {
                hosts(adapter, free, load).stream()
                        .filter(this::hasFreeSlot)
                        .findFirst()
                        .ifPresent(engine -> order(engine, Action.LOAD, adapter));
            }
        }
        return orders;
    }

    /** Returns whether requests wait for adapters of the model. */
    boolean isWaitedFor(ModelId base) {
        return waitedFor.contains(base);
    }

    /** Returns how many adapters of the model are in demand. */
    int wantedOf(ModelId base) {
        return wanted.getOrDefault(base, 0);
    }

    /** Returns the known adapters with a positive measure, the highest first. */
    private List<ModelId> wanted(ToDoubleFunction<ModelDemand> measure) {
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
            if (engine.holdsModel(adapter.base()) && !engine.announcement().leaving()) {
                serving.merge(adapter, 1, Integer::sum);
            }
        }
    }

    private List<EngineState> hosts(ModelId adapter, Collection<EngineState> free, ToDoubleFunction<EngineState> load) {
        return free.stream()
                .filter(engine -> !taken.contains(engine)
                        && !engine.holdsAdapter(adapter)
                        && engine.readyModels().contains(adapter.base())
                        && engine.announcement().isReadyFor(adapter.base()))
                .sorted(Comparator.comparingDouble(load))
                .toList();
    }

    private boolean hasFreeSlot(EngineState engine) {
        return engine.adapters().size() < pool.adapterSlots();
    }

    private void place(ModelId adapter, List<EngineState> hosts) {
        Optional<EngineState> open = hosts.stream().filter(this::hasFreeSlot).findFirst();
        if (open.isPresent()) {
            order(open.get(), Action.LOAD, adapter);
            return;
        }
        Optional<PlannedOrder> victim = Optional.empty();
        double least = Math.max(IDLE_RATE, rateOf(adapter) / WORTH_WAITING);
        for (EngineState engine : hosts) {
            for (ModelId held : engine.adapters()) {
                boolean mayGo = engine.isSettled(held, now)
                        && demand.getOrDefault(held, ModelDemand.NONE).waiting() == 0;
                double rate = rateOf(held) / copies.getOrDefault(held, 1);
                if (mayGo && rate < least) {
                    least = rate;
                    victim = Optional.of(new PlannedOrder(engine, Action.UNLOAD, held));
                }
            }
        }
        victim.ifPresent(way -> order(way.engine(), way.action(), way.model()));
    }

    private double rateOf(ModelId adapter) {
        return demand.getOrDefault(adapter, ModelDemand.NONE).shortRate();
    }

    private void order(EngineState engine, Action action, ModelId model) {
        taken.add(engine);
        orders.add(new PlannedOrder(engine, action, model));
    }
}
