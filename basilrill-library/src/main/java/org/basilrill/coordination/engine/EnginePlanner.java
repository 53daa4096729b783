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
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.ModelDemand;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.EngineOrder.Action;

/**
 * Decides which models and adapters the engines of a pool load and unload. Waiting requests come first: an adapter goes
 * to an engine that holds its model, a model without a copy goes where memory is free or held by copies that are not
 * needed. The last copy of a model is never unloaded for a model that has one. Pure; used by one thread at a time.
 */
final class EnginePlanner {
    /** A model gets another copy once each of its copies carries this much more than the mean engine. */
    private static final double OVERLOAD = 1.6;
    /** A model whose demand in tokens per second is below this is left with one copy. */
    private static final double NEGLIGIBLE_RATE = 200;

    private final Rules rules;
    private final EnginePool pool;
    private final List<EngineState> engines;
    private final Map<ModelId, ModelDemand> demand;
    private final long now;
    private final Map<ModelId, Double> rates = new HashMap<>();
    private final Map<ModelId, Integer> waitingByBase = new HashMap<>();
    private final Map<ModelId, Integer> copies = new HashMap<>();
    private final Set<EngineState> taken = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();
    private int loadsLeft;

    EnginePlanner(
            Rules rules,
            EnginePool pool,
            Collection<EngineState> engines,
            Map<ModelId, ModelDemand> demand,
            int loadsLeft,
            long now) {
        this.rules = rules;
        this.pool = pool;
        this.engines = List.copyOf(engines);
        this.demand = demand;
        this.loadsLeft = loadsLeft;
        this.now = now;
        demand.forEach((model, wish) -> {
            rates.merge(model.base(), wish.shortRate(), Double::sum);
            waitingByBase.merge(model.base(), wish.waiting(), Integer::sum);
        });
        for (EngineState engine : this.engines) {
            engine.heldModels().forEach(model -> copies.merge(model, 1, Integer::sum));
        }
    }

    /** Returns at most one order for each engine. */
    List<PlannedOrder> plan() {
        for (ModelId model : missingModels()) {
            placeModel(model);
        }
        for (ModelId adapter : waitingAdapters()) {
            placeAdapter(adapter);
        }
        relieveBusiest();
        return orders;
    }

    /** Models without any copy, those that requests wait for first, then those with the most demand. */
    private List<ModelId> missingModels() {
        Set<ModelId> wanted = new HashSet<>();
        demand.forEach((model, wish) -> {
            if (wish.waiting() > 0 || wish.shortRate() > 0) {
                wanted.add(model.base());
            }
        });
        return pool.models().keySet().stream()
                .filter(model -> copies(model) == 0)
                .filter(model -> wanted.contains(model) || engines.stream().anyMatch(engine -> fits(engine, model)))
                .sorted(Comparator.comparingInt((ModelId model) -> -waitingForBase(model))
                        .thenComparingDouble(model -> -rate(model))
                        .thenComparing(model -> model))
                .toList();
    }

    private int waitingForBase(ModelId base) {
        return waitingByBase.getOrDefault(base, 0);
    }

    /** Returns the demand for a model with its adapters, in tokens per second. */
    private double rate(ModelId base) {
        return rates.getOrDefault(base, 0.0);
    }

    private int copies(ModelId model) {
        return copies.getOrDefault(model, 0);
    }

    private boolean fits(EngineState engine, ModelId model) {
        return engine.usedBytes(rules) + bytes(model) <= pool.memoryBytes();
    }

    private long bytes(ModelId model) {
        return Optional.ofNullable(rules.models().get(model))
                .map(Rules.Model::memoryBytes)
                .orElse(Long.MAX_VALUE / 4);
    }

    private boolean isFree(EngineState engine) {
        return !taken.contains(engine) && engine.isFree(now);
    }

    private void placeModel(ModelId model) {
        if (loadsLeft <= 0) {
            return;
        }
        Optional<EngineState> roomy = engines.stream()
                .filter(engine -> isFree(engine) && !engine.isBusy() && fits(engine, model))
                .min(Comparator.comparingDouble(this::load));
        if (roomy.isPresent()) {
            loadsLeft--;
            order(roomy.get(), Action.LOAD, model);
            return;
        }
        makeRoom(model);
    }

    /** Unloads the copy that is needed least where the model would then fit. */
    private void makeRoom(ModelId model) {
        boolean underWay = engines.stream()
                .anyMatch(engine -> engine.isBusy() && engine.usedBytes(rules) + bytes(model) > pool.memoryBytes());
        if (underWay && engines.stream().filter(EngineState::isBusy).count() > 1) {
            return;
        }
        Victim best = null;
        for (EngineState engine : engines) {
            if (!isFree(engine) || engine.isBusy()) {
                continue;
            }
            for (ModelId held : engine.readyModels()) {
                boolean enough = engine.usedBytes(rules) - bytes(held) + bytes(model) <= pool.memoryBytes();
                if (!enough || copies(held) < 2) {
                    continue;
                }
                double loss = rate(held) / (copies(held) - 1);
                if (best == null || loss < best.loss()) {
                    best = new Victim(engine, held, loss);
                }
            }
        }
        if (best != null) {
            order(best.engine(), Action.UNLOAD, best.model());
        }
    }

    /** Adapters that requests wait for, the most wanted first. */
    private List<ModelId> waitingAdapters() {
        return demand.entrySet().stream()
                .filter(entry -> entry.getKey().adapter().isPresent()
                        && entry.getValue().waiting() > 0
                        && rules.adapters().containsKey(entry.getKey()))
                .sorted(Map.Entry.<ModelId, ModelDemand>comparingByValue(Comparator.comparingInt(ModelDemand::waiting))
                        .reversed()
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .filter(adapter -> engines.stream()
                        .noneMatch(engine -> engine.holdsAdapter(adapter)
                                && engine.holdsModel(adapter.base())
                                && !engine.announcement().leaving()))
                .toList();
    }

    private void placeAdapter(ModelId adapter) {
        ModelId base = adapter.base();
        List<EngineState> hosts = engines.stream()
                .filter(engine -> isFree(engine)
                        && engine.readyModels().contains(base)
                        && engine.announcement().isReadyFor(base))
                .sorted(Comparator.comparingDouble(this::load))
                .toList();
        Optional<EngineState> open = hosts.stream()
                .filter(engine -> engine.adapters().size() < pool.adapterSlots())
                .findFirst();
        if (open.isPresent()) {
            order(open.get(), Action.LOAD, adapter);
            return;
        }
        Victim best = null;
        for (EngineState engine : hosts) {
            for (ModelId held : engine.adapters()) {
                ModelDemand wish = demand.getOrDefault(held, ModelDemand.NONE);
                if (best == null || wish.shortRate() < best.loss()) {
                    best = new Victim(engine, held, wish.shortRate());
                }
            }
        }
        if (best != null) {
            order(best.engine(), Action.UNLOAD, best.model());
        }
    }

    /** Gives the model whose copies carry the most another copy, at the expense of copies that carry little. */
    private void relieveBusiest() {
        if (loadsLeft <= 0 || engines.stream().anyMatch(EngineState::isBusy)) {
            return;
        }
        double mean = engines.stream().mapToDouble(this::load).average().orElse(0);
        Map<ModelId, Double> perCopy = new HashMap<>();
        for (ModelId model : pool.models().keySet()) {
            int copies = copies(model);
            if (copies > 0 && rate(model) > NEGLIGIBLE_RATE) {
                perCopy.put(model, rate(model) / copies);
            }
        }
        perCopy.entrySet().stream()
                .filter(entry -> entry.getValue() > OVERLOAD * mean)
                .max(Map.Entry.comparingByValue())
                .ifPresent(entry -> addCopy(entry.getKey()));
    }

    private void addCopy(ModelId model) {
        Optional<EngineState> roomy = engines.stream()
                .filter(engine -> isFree(engine) && !engine.holdsModel(model) && fits(engine, model))
                .min(Comparator.comparingDouble(this::load));
        if (roomy.isPresent()) {
            loadsLeft--;
            order(roomy.get(), Action.LOAD, model);
            return;
        }
        double gain = rate(model) / copies(model) - rate(model) / (copies(model) + 1);
        Victim best = null;
        for (EngineState engine : engines) {
            if (!isFree(engine) || engine.holdsModel(model)) {
                continue;
            }
            for (ModelId held : engine.readyModels()) {
                boolean enough = engine.usedBytes(rules) - bytes(held) + bytes(model) <= pool.memoryBytes();
                double loss = load(engine) + rate(held) / Math.max(1, copies(held) - 1);
                if (enough && copies(held) > 1 && loss < gain && (best == null || loss < best.loss())) {
                    best = new Victim(engine, held, loss);
                }
            }
        }
        if (best != null) {
            order(best.engine(), Action.UNLOAD, best.model());
        }
    }

    /** Returns the demand that an engine carries, in tokens per second. */
    private double load(EngineState engine) {
        double load = 0;
        for (ModelId model : engine.readyModels()) {
            load += rate(model) / Math.max(1, copies(model));
        }
        return load;
    }

    private void order(EngineState engine, Action action, ModelId model) {
        taken.add(engine);
        if (model.adapter().isEmpty()) {
            copies.merge(model, action == Action.LOAD ? 1 : -1, Integer::sum);
        }
        orders.add(new PlannedOrder(engine, action, model));
    }

    /** What would make way, and what that costs in tokens per second. */
    private record Victim(EngineState engine, ModelId model, double loss) {}
}
