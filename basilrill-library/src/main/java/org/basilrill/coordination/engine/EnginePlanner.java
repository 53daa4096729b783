package org.basilrill.coordination.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.ModelDemand;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.EngineOrder.Action;

/**
 * Decides which models the engines of a pool load and unload. A model without a copy is placed where memory is free or
 * used by copies that are not needed; then models with high demand get more copies. The last copy of a model is evicted
 * only while the weights of the model are local to the engine, and only one last copy at a time. {@link AdapterPlanner}
 * plans the adapters. Sends no orders itself: it changes only the reservations of the engines and the record of recent
 * unloads. Used by one thread at a time.
 */
final class EnginePlanner {
    /** A model gets another copy when the demand per copy exceeds this multiple of the mean demand per engine. */
    private static final double OVERLOAD_FACTOR = 1.5;
    /**
     * Demand per copy in tokens per second below which a model gets no further copy: it is a small part of the capacity
     * of an engine, and averages over the first seconds are unreliable.
     */
    private static final double MIN_OVERLOAD_RATE = 8_000;
    /**
     * The last copy of a model is evicted to replicate another model only if its demand is below this share of the
     * demand for that model.
     */
    private static final double LAST_COPY_DEMAND_SHARE = 0.05;

    private final Rules rules;
    private final EnginePool pool;
    private final List<EngineState> engines;
    private final long now;
    private final RecentUnloads recentUnloads;
    private final PoolDemand demand;
    private final CopyCounts copies;
    private final Set<EngineState> assignedEngines = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();
    private final AdapterPlanner adapters;
    private final VersionCopies versionCopies;
    private final BusyEngines busyEngines;
    private int remainingLoads;
    private boolean lastCopyEvicted;

    EnginePlanner(
            Rules rules,
            EnginePool pool,
            Collection<EngineState> engines,
            Map<ModelId, ModelDemand> modelDemand,
            int remainingLoads,
            RecentUnloads recentUnloads,
            long now) {
        this.recentUnloads = recentUnloads;
        this.rules = rules;
        this.pool = pool;
        this.engines = List.copyOf(engines);
        // A load for which an earlier decision reserved memory counts as ordered.
        this.remainingLoads = remainingLoads
                - (int) this.engines.stream()
                        .filter(EngineState::awaitsStoreLoad)
                        .count();
        this.now = now;
        demand = new PoolDemand(modelDemand);
        copies = new CopyCounts(this.engines, demand);
        adapters = new AdapterPlanner(rules, pool, modelDemand, now);
        versionCopies = new VersionCopies(this.engines);
        busyEngines = new BusyEngines(this.engines);
    }

    /** Returns the models in demand that no engine serves, by name. */
    List<ModelId> unservedModels() {
        return pool.models().keySet().stream()
                .filter(model -> demand.isNotable(model) || demand.isAwaited(model))
                .filter(model -> copies.ready(model) == 0)
                .sorted()
                .toList();
    }

    /** Returns at most one order for each engine. */
    List<PlannedOrder> plan() {
        // Adapters are placed first: they load in milliseconds, whereas an engine that loads a model accepts no order
        // for seconds.
        placeAdapters();
        loadReserved();
        placeMissingModels();
        loadLocalModels();
        replicateBusiest();
        replicateWithinVersions();
        return orders;
    }

    private void placeMissingModels() {
        MissingModels missing = new MissingModels(pool.models().keySet(), demand, copies);
        missing.first().forEach(this::placeModel);
        missing.secondCopies().forEach(this::loadSecondCopy);
        missing.last().forEach(this::placeModel);
    }

    /** Loads a second copy into free memory, preferably where its weights are local. */
    private void loadSecondCopy(ModelId model) {
        engines.stream()
                .filter(engine -> mayHostCopy(engine, model) && fits(engine, model))
                .min(versionCopies.secondFirst(model).thenComparing(bestFirst(model)))
                .ifPresent(engine -> load(engine, model));
    }

    private void placeAdapters() {
        List<EngineState> free = engines.stream()
                .filter(engine -> isFree(engine) && !engine.isBusy())
                .toList();
        for (PlannedOrder order : adapters.plan(engines, free, this::servedRate)) {
            assignedEngines.add(order.engine());
            orders.add(order);
        }
    }

    /**
     * Loads the models for which earlier unloads freed memory. Their loads were counted when the memory was reserved.
     */
    private void loadReserved() {
        for (EngineState engine : engines) {
            if (acceptsModelOrder(engine)) {
                engine.removeReservation()
                        .filter(model -> !engine.isResidentOrLoading(model) && fits(engine, model))
                        .ifPresent(model -> load(engine, model));
            }
        }
    }

    /**
     * Returns whether the model fits into the memory of the engine in addition to the model that memory is reserved
     * for.
     */
    private boolean fits(EngineState engine, ModelId model) {
        long reserved = engine.reservedModel()
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
        return !assignedEngines.contains(engine) && engine.isFree(now);
    }

    private Stream<EngineState> reachable() {
        return engines.stream().filter(engine -> !engine.refusesConnections());
    }

    /** Returns whether an order to load or unload a model may be sent to the engine now. */
    private boolean acceptsModelOrder(EngineState engine) {
        return isFree(engine) && !engine.isBusy() && !engine.refusesConnections();
    }

    /**
     * Returns whether the model may be loaded. Local weights do not need the weight store, whose loads are limited.
     */
    private boolean mayLoad(EngineState engine, ModelId model) {
        return remainingLoads > 0 || engine.hasLocalWeights(model);
    }

    private void placeModel(ModelId model) {
        if (reachable().anyMatch(engine -> engine.reservedModel().equals(Optional.of(model)))) {
            // Memory for it is being freed; a second copy would occupy the memory of another missing model.
            return;
        }
        Optional<EngineState> withFreeMemory = engines.stream()
                .filter(engine -> acceptsModelOrder(engine) && fits(engine, model) && mayLoad(engine, model))
                .min(bestFirst(model));
        if (withFreeMemory.isPresent()) {
            load(withFreeMemory.get(), model);
            return;
        }
        boolean inDemand = demand.isAwaited(model) || demand.rate(model) > 0;
        boolean memoryFreedSoon = reachable().anyMatch(engine -> !engine.isFree(now) && fits(engine, model));
        if (inDemand && !memoryFreedSoon) {
            evictFor(model);
        }
    }

    /** Orders engines with free memory: those that accept enough requests, then those with local weights first. */
    private Comparator<EngineState> bestFirst(ModelId model) {
        return Comparator.comparing(EngineState::isOverLimit)
                .thenComparing(engine -> !engine.hasLocalWeights(model))
                .thenComparingDouble(this::servedRate);
    }

    /** Unloads the least needed copy on an engine where the model would then fit. */
    private void evictFor(ModelId model) {
        if (busyEngines.isLimitReached()) {
            return;
        }
        boolean waiting = demand.isAwaited(model);
        Optional<EvictionCandidate> best = Optional.empty();
        for (EngineState engine : engines) {
            if (!acceptsModelOrder(engine) || !mayLoad(engine, model)) {
                continue;
            }
            for (ModelId resident : engine.readyModels()) {
                if (mayEvict(engine, resident, model, waiting ? 1 : 0)) {
                    double loss = demand.retentionRate(resident) / Math.max(1, copies.all(resident) - 1);
                    best = betterCandidate(
                            best, new EvictionCandidate(engine, resident, engine.hasLocalWeights(model), loss));
                }
            }
        }
        best.ifPresent(candidate -> unload(candidate.engine(), candidate.model(), model));
    }

    /**
     * Returns whether a copy may be unloaded for another model. The last copy that serves may be unloaded only if no
     * requests are queued for it, its demand is far lower, and its weights are local to the engine, so that it loads
     * again within a second. Only one last copy per decision is evicted, and only while few engines are busy: several
     * evictions at once made each other's models missing, and each of them was loaded again.
     *
     * @param share a last copy may be evicted if its demand is below this share of the demand for the other model
     */
    private boolean mayEvict(EngineState engine, ModelId resident, ModelId next, double share) {
        boolean replaceable = engine.hasLocalWeights(resident)
                && !demand.isAwaited(resident)
                && demand.rate(resident) < share * demand.rate(next)
                && !lastCopyEvicted
                && busyEngines.allowLastCopyEviction();
        return (copies.ready(resident) > 1 || replaceable)
                && engine.isPastCooldown(resident, now)
                && engine.usedBytes(rules) - bytes(resident) + bytes(next) <= pool.memoryBytes();
    }

    private static Optional<EvictionCandidate> betterCandidate(
            Optional<EvictionCandidate> best, EvictionCandidate other) {
        return best.filter(current -> EvictionCandidate.BEST_FIRST.compare(current, other) <= 0)
                .or(() -> Optional.of(other));
    }

    /** Loads models in demand from local weights on engines with free memory, for example after a restart. */
    private void loadLocalModels() {
        for (EngineState engine : engines) {
            if (!acceptsModelOrder(engine)) {
                continue;
            }
            pool.models().keySet().stream()
                    .filter(model -> !engine.isResidentOrLoading(model)
                            && engine.hasLocalWeights(model)
                            && engine.isPastCooldown(model, now)
                            && demand.isNotable(model)
                            && fits(engine, model))
                    .max(Comparator.comparingDouble(
                                    (ModelId model) -> demand.rate(model) / Math.max(1, copies.all(model)))
                            .thenComparing(model -> model))
                    .ifPresent(model -> load(engine, model));
        }
    }

    /**
     * Loads another copy of the model with the highest demand per copy, evicting a copy with low demand if necessary.
     */
    private void replicateBusiest() {
        if (busyEngines.isLimitReached()) {
            return;
        }
        double mean = engines.stream().mapToDouble(this::servedRate).average().orElse(0);
        pool.models().keySet().stream()
                .filter(model -> copies.all(model) > 0 && demand.isNotable(model))
                .filter(model -> lacksAdapterSlots(model)
                        || isOnlyOverLimit(model)
                        || demand.rate(model) / copies.all(model) > Math.max(MIN_OVERLOAD_RATE, OVERLOAD_FACTOR * mean))
                .max(Comparator.comparing(this::isOnlyOverLimit)
                        .thenComparing(this::lacksAdapterSlots)
                        .thenComparingDouble((ModelId model) -> demand.rate(model) / copies.all(model))
                        .thenComparing(model -> model))
                .ifPresent(this::addCopy);
    }

    /** While several software versions are in service, loads a second copy at one of them into free memory. */
    private void replicateWithinVersions() {
        if (!versionCopies.several() || busyEngines.isLimitReached()) {
            return;
        }
        pool.models().keySet().stream()
                .filter(model -> demand.isNotable(model))
                .sorted(Comparator.comparingDouble((ModelId model) -> -demand.rate(model))
                        .thenComparing(model -> model))
                .flatMap(model -> secondAtItsVersion(model).stream())
                .findFirst()
                .ifPresent(order -> load(order.engine(), order.model()));
    }

    private Optional<PlannedOrder> secondAtItsVersion(ModelId model) {
        return engines.stream()
                .filter(engine -> versionCopies.wouldBeSecond(engine, model))
                .filter(engine -> mayHostCopy(engine, model) && fits(engine, model))
                .min(bestFirst(model))
                .map(engine -> new PlannedOrder(engine, Action.LOAD, model));
    }

    /** Returns whether all copies of a model are on engines that accept fewer requests than are queued for them. */
    private boolean isOnlyOverLimit(ModelId model) {
        return engines.stream()
                .filter(engine -> engine.isResidentOrLoading(model))
                .allMatch(EngineState::isOverLimit);
    }

    /**
     * Returns whether requests are queued for adapters that do not fit into the adapter slots of the copies of their
     * model.
     */
    private boolean lacksAdapterSlots(ModelId model) {
        return adapters.hasWaitingRequests(model)
                && adapters.adaptersInDemand(model) > copies.all(model) * pool.adapterSlots();
    }

    private void addCopy(ModelId model) {
        Optional<EngineState> withFreeMemory = engines.stream()
                .filter(engine -> mayHostCopy(engine, model) && fits(engine, model))
                .min(versionCopies.secondFirst(model).thenComparing(bestFirst(model)));
        if (withFreeMemory.isPresent()) {
            load(withFreeMemory.get(), model);
            return;
        }
        double gain = isOnlyOverLimit(model)
                ? demand.rate(model)
                : demand.rate(model) / copies.all(model) - demand.rate(model) / (copies.all(model) + 1);
        Optional<EvictionCandidate> best = Optional.empty();
        for (EngineState engine : engines) {
            if (!mayHostCopy(engine, model)) {
                continue;
            }
            for (ModelId resident : engine.readyModels()) {
                double loss =
                        servedRate(engine) + demand.retentionRate(resident) / Math.max(1, copies.all(resident) - 1);
                if (loss < gain
                        && !recentUnloads.contains(resident, now)
                        && mayEvict(engine, resident, model, LAST_COPY_DEMAND_SHARE)) {
                    best = betterCandidate(
                            best, new EvictionCandidate(engine, resident, engine.hasLocalWeights(model), loss));
                }
            }
        }
        best.ifPresent(candidate -> unload(candidate.engine(), candidate.model(), model));
    }

    private boolean mayHostCopy(EngineState engine, ModelId model) {
        return acceptsModelOrder(engine)
                && !engine.isOverLimit()
                && !engine.isResidentOrLoading(model)
                && mayLoad(engine, model);
    }

    /** Returns the demand that an engine serves, in tokens per second. */
    private double servedRate(EngineState engine) {
        double load = 0;
        for (ModelId model : engine.readyModels()) {
            load += demand.rate(model) / Math.max(1, copies.all(model));
        }
        return load;
    }

    private void load(EngineState engine, ModelId model) {
        if (!engine.hasLocalWeights(model)) {
            remainingLoads--;
        }
        copies.loadPlanned(model);
        assignedEngines.add(engine);
        orders.add(new PlannedOrder(engine, Action.LOAD, model));
    }

    private void unload(EngineState engine, ModelId model, ModelId successor) {
        engine.reserveFor(successor);
        lastCopyEvicted |= copies.ready(model) <= 1;
        if (!engine.hasLocalWeights(successor)) {
            remainingLoads--;
        }
        copies.unloadPlanned(model);
        recentUnloads.add(model, now);
        assignedEngines.add(engine);
        orders.add(new PlannedOrder(engine, Action.UNLOAD, model));
    }
}
