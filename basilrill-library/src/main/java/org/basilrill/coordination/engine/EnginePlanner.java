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
 * Decides which models the engines of a pool load and unload. A model without a copy goes where memory is free or held
 * by copies that are not needed; then models with much demand get more copies. The last copy of a model makes way only
 * while another one is at hand on the machine, and one at a time. Adapters follow the models: {@link AdapterPlanner}.
 * Pure; used by one thread at a time.
 */
final class EnginePlanner {
    /** A model gets another copy once each of its copies carries this much more than the mean engine. */
    private static final double OVERLOAD = 1.5;
    /**
     * A copy with less demand than this, in tokens per second, is not relieved: it is a small part of what an engine
     * reads, and the averages of the first moments say little.
     */
    private static final double RELIEF_RATE = 8_000;
    /** The last copy of a model makes way only for a model with much more demand. */
    private static final double LAST_COPY_SHARE = 0.05;
    /** A model whose demand in tokens per second is below this is left with one copy. */
    private static final double NEGLIGIBLE_RATE = 200;

    /** A last copy makes way only while no larger part of the engines moves, so that it can return at once. */
    private static final double QUIET_SHARE = 0.2;
    /** Part of the engines that may load or unload at a time, so that most models keep their copies meanwhile. */
    private static final double MOVING_SHARE = 0.4;

    private final Rules rules;
    private final EnginePool pool;
    private final List<EngineState> engines;
    private final long now;
    private final RecentUnloads recentUnloads;
    private final Map<ModelId, Double> rates = new HashMap<>();
    /** Demand that copies are kept for: a rise counts at once, a fall only after a while. */
    private final Map<ModelId, Double> keptRates = new HashMap<>();

    private final Map<ModelId, Integer> waitingByBase = new HashMap<>();
    private final Map<ModelId, Integer> copies = new HashMap<>();
    /** Copies that serve; those on their way do not replace one that is unloaded. */
    private final Map<ModelId, Integer> readyCopies = new HashMap<>();

    private final Set<EngineState> taken = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();
    private final AdapterPlanner adapters;
    private int loadsLeft;
    private boolean lastCopyTaken;

    EnginePlanner(
            Rules rules,
            EnginePool pool,
            Collection<EngineState> engines,
            Map<ModelId, ModelDemand> demand,
            int loadsLeft,
            RecentUnloads recentUnloads,
            long now) {
        this.recentUnloads = recentUnloads;
        this.rules = rules;
        this.pool = pool;
        this.engines = List.copyOf(engines);
        // What an earlier unload made way for is as good as ordered.
        this.loadsLeft = loadsLeft
                - (int) this.engines.stream().filter(EnginePlanner::awaitsStore).count();
        this.now = now;
        demand.forEach((model, wish) -> {
            rates.merge(model.base(), wish.shortRate(), Double::sum);
            keptRates.merge(model.base(), wish.rate(), Double::sum);
            waitingByBase.merge(model.base(), wish.waiting(), Integer::sum);
        });
        for (EngineState engine : this.engines) {
            engine.heldModels().forEach(model -> copies.merge(model, 1, Integer::sum));
            engine.readyModels().forEach(model -> readyCopies.merge(model, 1, Integer::sum));
        }
        adapters = new AdapterPlanner(rules, pool, demand, now);
    }

    /** Returns at most one order for each engine. */
    List<PlannedOrder> plan() {
        // Adapters go first: they load in milliseconds, and an engine that loads a model takes no order for seconds.
        placeAdapters();
        loadReserved();
        missingModels().forEach(this::placeModel);
        refill();
        relieveBusiest();
        return orders;
    }

    private void placeAdapters() {
        List<EngineState> free = engines.stream()
                .filter(engine -> isFree(engine) && !engine.isBusy())
                .toList();
        for (PlannedOrder order : adapters.plan(engines, free, this::load)) {
            taken.add(order.engine());
            orders.add(order);
        }
    }

    /** Loads what earlier unloads made way for; their loads were counted when the room was made. */
    private void loadReserved() {
        for (EngineState engine : engines) {
            if (isFree(engine) && !engine.isBusy()) {
                engine.takeReserved()
                        .filter(model -> !engine.holdsModel(model) && fits(engine, model))
                        .ifPresent(model -> load(engine, model));
            }
        }
    }

    /** Returns whether room is being made at the engine for a model that comes from the weight store. */
    private static boolean awaitsStore(EngineState engine) {
        return engine.reserved().filter(model -> !engine.hasAtHand(model)).isPresent();
    }

    /** Models without any copy, those that requests wait for first, in each group those with the most demand first. */
    private List<ModelId> missingModels() {
        return pool.models().keySet().stream()
                .filter(model -> copies(model) == 0)
                .sorted(Comparator.comparing((ModelId model) -> waitingByBase.getOrDefault(model, 0) == 0)
                        .thenComparingDouble(model -> -rate(model))
                        .thenComparing(model -> model))
                .toList();
    }

    /** Returns the demand for a model with its adapters, in tokens per second. */
    private double rate(ModelId base) {
        return rates.getOrDefault(base, 0.0);
    }

    private double keptRate(ModelId base) {
        return keptRates.getOrDefault(base, 0.0);
    }

    private int copies(ModelId model) {
        return copies.getOrDefault(model, 0);
    }

    /** Returns whether there is room for a model beside what room is being made for. */
    private boolean fits(EngineState engine, ModelId model) {
        long reserved = engine.reserved()
                .filter(other -> !other.equals(model))
                .map(this::bytes)
                .orElse(0L);
        return engine.usedBytes(rules) + reserved + bytes(model) <= pool.memoryBytes();
    }

    private long bytes(ModelId model) {
        return Optional.ofNullable(rules.models().get(model))
                .map(Rules.Model::memoryBytes)
                .orElse(Long.MAX_VALUE / 4);
    }

    private boolean isFree(EngineState engine) {
        return !taken.contains(engine) && engine.isFree(now);
    }

    /** Returns whether the model may be fetched: copies at hand do not need the weight store. */
    private boolean mayLoad(EngineState engine, ModelId model) {
        return loadsLeft > 0 || engine.hasAtHand(model);
    }

    private void placeModel(ModelId model) {
        if (engines.stream().anyMatch(engine -> engine.reserved().equals(Optional.of(model)))) {
            // Its room is being made; a second copy would take the room of another missing model.
            return;
        }
        Optional<EngineState> roomy = engines.stream()
                .filter(engine -> isFree(engine) && !engine.isBusy() && fits(engine, model) && mayLoad(engine, model))
                .min(Comparator.comparing((EngineState engine) -> !engine.hasAtHand(model))
                        .thenComparingDouble(this::load));
        if (roomy.isPresent()) {
            load(roomy.get(), model);
            return;
        }
        boolean wanted = waitingByBase.getOrDefault(model, 0) > 0 || rate(model) > 0;
        boolean roomSoon = engines.stream().anyMatch(engine -> !engine.isFree(now) && fits(engine, model));
        if (wanted && !roomSoon) {
            makeRoom(model);
        }
    }

    /** Unloads the copy that is needed least where the model would then fit. */
    private void makeRoom(ModelId model) {
        if (movesEnough()) {
            return;
        }
        boolean waiting = waitingByBase.getOrDefault(model, 0) > 0;
        Optional<Victim> best = Optional.empty();
        for (EngineState engine : engines) {
            if (!isFree(engine) || engine.isBusy() || !mayLoad(engine, model)) {
                continue;
            }
            for (ModelId held : engine.readyModels()) {
                if (makesWay(engine, held, model, waiting ? 1 : 0)) {
                    double loss = keptRate(held) / Math.max(1, copies(held) - 1);
                    best = better(best, new Victim(engine, held, engine.hasAtHand(model), loss));
                }
            }
        }
        best.ifPresent(victim -> unload(victim.engine(), victim.model(), model));
    }

    /**
     * Returns whether a copy may be unloaded for another model. The last copy that serves may only if nobody waits for
     * it, it is asked for far less, and it loads again from the machine's own copy within a second. Only one last copy
     * in a decision makes way, while few engines move: several at once made each other's models missing, and each
     * of them was loaded again.
     *
     * @param share demand for the last copy, relative to that for the other model, below which it may go
     */
    private boolean makesWay(EngineState engine, ModelId held, ModelId next, double share) {
        boolean replaceable = engine.hasAtHand(held)
                && waitingByBase.getOrDefault(held, 0) == 0
                && rate(held) < share * rate(next)
                && !lastCopyTaken
                && busyEngines() <= Math.max(1, engines.size() * QUIET_SHARE);
        return (readyCopies.getOrDefault(held, 0) > 1 || replaceable)
                && engine.isSettled(held, now)
                && engine.usedBytes(rules) - bytes(held) + bytes(next) <= pool.memoryBytes();
    }

    private long busyEngines() {
        return engines.stream().filter(EngineState::isBusy).count();
    }

    private static Optional<Victim> better(Optional<Victim> best, Victim other) {
        return best.filter(known -> Victim.BEST_FIRST.compare(known, other) <= 0)
                .or(() -> Optional.of(other));
    }

    /** Returns whether as many engines load or unload as may without another model losing its copies meanwhile. */
    private boolean movesEnough() {
        long moving = engines.stream()
                .filter(engine -> engine.isBusy() || engine.reserved().isPresent())
                .count();
        return moving > Math.max(1, engines.size() * MOVING_SHARE);
    }

    /** Fills engines that have room for a model in demand with copies that are at hand, as after a restart. */
    private void refill() {
        for (EngineState engine : engines) {
            if (!isFree(engine) || engine.isBusy()) {
                continue;
            }
            pool.models().keySet().stream()
                    .filter(model -> !engine.holdsModel(model)
                            && engine.hasAtHand(model)
                            && engine.isSettled(model, now)
                            && rate(model) > NEGLIGIBLE_RATE
                            && fits(engine, model))
                    .max(Comparator.comparingDouble((ModelId model) -> rate(model) / Math.max(1, copies(model)))
                            .thenComparing(model -> model))
                    .ifPresent(model -> load(engine, model));
        }
    }

    /** Gives the model whose copies carry the most another copy, at the expense of copies that carry little. */
    private void relieveBusiest() {
        if (movesEnough()) {
            return;
        }
        double mean = engines.stream().mapToDouble(this::load).average().orElse(0);
        pool.models().keySet().stream()
                .filter(model -> copies(model) > 0 && rate(model) > NEGLIGIBLE_RATE)
                .filter(model -> lacksAdapterSlots(model)
                        || rate(model) / copies(model) > Math.max(RELIEF_RATE, OVERLOAD * mean))
                .max(Comparator.comparing(this::lacksAdapterSlots)
                        .thenComparingDouble((ModelId model) -> rate(model) / copies(model))
                        .thenComparing(model -> model))
                .ifPresent(this::addCopy);
    }

    /** Returns whether requests wait for adapters that the copies of their model have no slots for. */
    private boolean lacksAdapterSlots(ModelId model) {
        return adapters.isWaitedFor(model) && adapters.wantedOf(model) > copies(model) * pool.adapterSlots();
    }

    private void addCopy(ModelId model) {
        Optional<EngineState> roomy = engines.stream()
                .filter(engine -> isFree(engine)
                        && !engine.isBusy()
                        && !engine.holdsModel(model)
                        && fits(engine, model)
                        && mayLoad(engine, model))
                .min(Comparator.comparing((EngineState engine) -> !engine.hasAtHand(model))
                        .thenComparingDouble(this::load));
        if (roomy.isPresent()) {
            load(roomy.get(), model);
            return;
        }
        double gain = rate(model) / copies(model) - rate(model) / (copies(model) + 1);
        Optional<Victim> best = Optional.empty();
        for (EngineState engine : engines) {
            if (!isFree(engine) || engine.isBusy() || engine.holdsModel(model) || !mayLoad(engine, model)) {
                continue;
            }
            for (ModelId held : engine.readyModels()) {
                double loss = load(engine) + keptRate(held) / Math.max(1, copies(held) - 1);
                if (loss < gain
                        && !recentUnloads.contains(held, now)
                        && makesWay(engine, held, model, LAST_COPY_SHARE)) {
                    best = better(best, new Victim(engine, held, engine.hasAtHand(model), loss));
                }
            }
        }
        best.ifPresent(victim -> unload(victim.engine(), victim.model(), model));
    }

    /** Returns the demand that an engine carries, in tokens per second. */
    private double load(EngineState engine) {
        double load = 0;
        for (ModelId model : engine.readyModels()) {
            load += rate(model) / Math.max(1, copies(model));
        }
        return load;
    }

    private void load(EngineState engine, ModelId model) {
        if (!engine.hasAtHand(model)) {
            loadsLeft--;
        }
        copies.merge(model, 1, Integer::sum);
        taken.add(engine);
        orders.add(new PlannedOrder(engine, Action.LOAD, model));
    }

    private void unload(EngineState engine, ModelId model, ModelId successor) {
        engine.reserveFor(successor);
        lastCopyTaken |= readyCopies.getOrDefault(model, 0) <= 1;
        if (!engine.hasAtHand(successor)) {
            loadsLeft--;
        }
        copies.merge(model, -1, Integer::sum);
        readyCopies.merge(model, -1, Integer::sum);
        recentUnloads.note(model, now);
        taken.add(engine);
        orders.add(new PlannedOrder(engine, Action.UNLOAD, model));
    }

    /**
     * What would make way.
     *
     * @param quick whether the engine has the successor at hand, so that it loads in a fraction of the time
     * @param loss what that costs, in tokens per second
     */
    private record Victim(EngineState engine, ModelId model, boolean quick, double loss) {
        private static final Comparator<Victim> BEST_FIRST =
                Comparator.comparing((Victim victim) -> !victim.quick()).thenComparingDouble(Victim::loss);
    }
}
