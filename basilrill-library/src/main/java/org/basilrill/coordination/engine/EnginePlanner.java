package org.basilrill.coordination.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
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
    /** A last copy is evicted to replicate a model only if its demand is below this share of the demand for that. */
    private static final double LAST_COPY_DEMAND_SHARE = 0.05;

    private final PoolMemory memory;
    private final EnginePool pool;
    private final List<EngineState> engines;
    private final long now;
    private final RecentUnloads recentUnloads;
    private final PoolDemand demand;
    private final CopyCounts copies;
    private final UnservedModels unserved;
    private final Set<EngineState> assignedEngines = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();
    private final AdapterPlanner adapters;
    private final VersionCopies versionCopies;
    private final BusyEngines busyEngines;
    private final RegionalCopies regional;
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
        this.pool = pool;
        memory = new PoolMemory(rules, pool);
        this.engines = List.copyOf(engines);
        // A load for which an earlier decision reserved memory counts as ordered.
        this.remainingLoads = remainingLoads
                - (int) this.engines.stream()
                        .filter(EngineState::awaitsStoreLoad)
                        .count();
        this.now = now;
        demand = new PoolDemand(modelDemand);
        copies = new CopyCounts(this.engines, demand);
        regional = new RegionalCopies(this.engines, modelDemand);
        adapters = new AdapterPlanner(rules, pool, modelDemand, regional, now);
        unserved = new UnservedModels(pool, this.engines, demand);
        versionCopies = new VersionCopies(this.engines);
        busyEngines = new BusyEngines(this.engines);
    }

    /** Returns the models in demand that no engine serves, by descending demand. */
    List<ModelId> unservedModels() {
        return unserved.all();
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

    /**
     * Loads a model that no engine serves where its weights are local, also while it is loaded from the weight store
     * elsewhere, and evicts a copy of little demand if necessary.
     */
    private void loadFromLocalWeights(ModelId model) {
        Optional<EngineState> withFreeMemory = engines.stream()
                .filter(engine -> hasRoomFor(engine, model) && engine.hasLocalWeights(model))
                .min(bestFirst(model));
        if (withFreeMemory.isPresent()) {
            load(withFreeMemory.get(), model);
        } else {
            evictFor(model, engine -> engine.hasLocalWeights(model), LAST_COPY_DEMAND_SHARE);
        }
    }

    private void placeMissingModels() {
        MissingModels missing = new MissingModels(pool.models().keySet(), demand, copies, overloadRate());
        unserved.busiest(now).forEach(this::loadFromLocalWeights);
        missing.first().forEach(this::placeModel);
        placeRegionalCopies();
        missing.furtherCopies().forEach(this::loadFurtherCopy);
        missing.last().forEach(this::placeModel);
    }

    /** Gives a copy to each model with requests that may be served only where it has none. */
    private void placeRegionalCopies() {
        regional.missingModels(orders).stream()
                .filter(need -> pool.models().containsKey(need.model()))
                .forEach(need -> placeModel(need.model(), need::isMetBy));
    }

    /** Loads a further copy into free memory, preferably where its weights are local; returns whether there is any. */
    private boolean loadFurtherCopy(ModelId model) {
        Optional<EngineState> withFreeMemory = engines.stream()
                .filter(engine -> hasRoomFor(engine, model))
                .min(versionCopies.secondFirst(model).thenComparing(bestFirst(model)));
        withFreeMemory.ifPresent(engine -> load(engine, model));
        return withFreeMemory.isPresent();
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
                        .filter(model -> !engine.isResidentOrLoading(model) && memory.fits(engine, model))
                        .ifPresent(model -> load(engine, model));
            }
        }
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
        placeModel(model, any -> true);
    }

    private void placeModel(ModelId model, Predicate<EngineState> host) {
        if (reachable().filter(host).anyMatch(engine -> engine.reservedModel().equals(Optional.of(model)))) {
            // Memory for it is being freed; a second copy would occupy the memory of another missing model.
            return;
        }
        Optional<EngineState> withFreeMemory = engines.stream()
                .filter(host)
                .filter(engine -> acceptsModelOrder(engine) && memory.fits(engine, model) && mayLoad(engine, model))
                .min(bestFirst(model));
        if (withFreeMemory.isPresent()) {
            load(withFreeMemory.get(), model);
            return;
        }
        boolean inDemand = demand.isAwaited(model) || demand.rate(model) > 0;
        boolean memoryFreedSoon =
                reachable().filter(host).anyMatch(engine -> !engine.isFree(now) && memory.fits(engine, model));
        if (inDemand && !memoryFreedSoon && !busyEngines.isLimitReached()) {
            evictFor(model, engine -> host.test(engine) && mayLoad(engine, model), demand.isAwaited(model) ? 1 : 0);
        }
    }

    /** Orders engines with free memory: those that accept enough requests, then those with local weights first. */
    private Comparator<EngineState> bestFirst(ModelId model) {
        return regional.mostNeeded(model)
                .thenComparing(EngineState::isOverLimit)
                .thenComparing(engine -> !engine.hasLocalWeights(model))
                .thenComparingDouble(this::servedRate);
    }

    /**
     * Unloads the least needed copy on an engine where the model would then fit.
     *
     * @param share a last copy may be evicted if its demand is below this share of the demand for the model
     */
    private void evictFor(ModelId model, Predicate<EngineState> mayHost, double share) {
        Optional<EvictionCandidate> best = Optional.empty();
        for (EngineState engine : engines) {
            if (!acceptsModelOrder(engine) || !mayHost.test(engine)) {
                continue;
            }
            for (ModelId resident : engine.readyModels()) {
                if (mayEvict(engine, resident, model, share)) {
                    double loss = demand.retentionRate(resident) / Math.max(1, copies.all(resident) - 1);
                    best = EvictionCandidate.better(
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
                && (busyEngines.allowLastCopyEviction() || isFarMoreUrgent(next, resident));
        return (copies.ready(resident) > 1 && !regional.isLast(engine, resident) || replaceable)
                && engine.isPastCooldown(resident, now)
                && memory.fitsInsteadOf(engine, resident, next);
    }

    /**
     * Returns whether no engine serves a model in far more demand. As no chain of such evictions ends where it began,
     * they may be made while many engines are busy.
     */
    private boolean isFarMoreUrgent(ModelId next, ModelId resident) {
        return unserved.contains(next) && demand.rate(resident) < LAST_COPY_DEMAND_SHARE * demand.rate(next);
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
                            && memory.fits(engine, model))
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
        double overloadRate = overloadRate();
        pool.models().keySet().stream()
                .filter(model -> copies.all(model) > 0 && demand.isNotable(model))
                .filter(model -> adapters.lacksSlots(model, copies.all(model))
                        || isOnlyOverLimit(model)
                        || demand.rate(model) / copies.all(model) > overloadRate)
                .max(Comparator.comparing(this::isOnlyOverLimit)
                        .thenComparing(model -> adapters.lacksSlots(model, copies.all(model)))
                        .thenComparingDouble((ModelId model) -> demand.rate(model) / copies.all(model))
                        .thenComparing(model -> model))
                .ifPresent(this::addCopy);
    }

    /** Returns the demand per copy above which a model gets a further copy. */
    private double overloadRate() {
        double mean = engines.stream().mapToDouble(this::servedRate).average().orElse(0);
        return Math.max(MIN_OVERLOAD_RATE, OVERLOAD_FACTOR * mean);
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
                .filter(engine -> versionCopies.wouldBeSecond(engine, model) && hasRoomFor(engine, model))
                .min(bestFirst(model))
                .map(engine -> new PlannedOrder(engine, Action.LOAD, model));
    }

    /** Returns whether all copies of a model are on engines that accept fewer requests than are queued for them. */
    private boolean isOnlyOverLimit(ModelId model) {
        return engines.stream()
                .filter(engine -> engine.isResidentOrLoading(model))
                .allMatch(EngineState::isOverLimit);
    }

    private void addCopy(ModelId model) {
        if (loadFurtherCopy(model)) {
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
                    best = EvictionCandidate.better(
                            best, new EvictionCandidate(engine, resident, engine.hasLocalWeights(model), loss));
                }
            }
        }
        best.ifPresent(candidate -> unload(candidate.engine(), candidate.model(), model));
    }

    private boolean hasRoomFor(EngineState engine, ModelId model) {
        return mayHostCopy(engine, model) && memory.fits(engine, model);
    }

    private boolean mayHostCopy(EngineState engine, ModelId model) {
        return acceptsModelOrder(engine)
                && !engine.isOverLimit()
                && !engine.isResidentOrLoading(model)
                && mayLoad(engine, model);
    }

    /** Returns the demand that an engine serves, in tokens per second. */
    private double servedRate(EngineState engine) {
        return copies.servedRate(engine);
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
