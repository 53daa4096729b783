package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.PlacementPlan.Obstacle;
import org.basilrill.coordination.placement.PlacementPlan.WaitingLoad;
import org.basilrill.coordination.placement.PlannedTarget.Copy;
import org.basilrill.state.configuration.Rules;

/**
 * Plans which models and adapters are loaded and unloaded at which targets. Deterministic: equal input gives an equal
 * plan.
 *
 * <p>A plan never unloads the last ready copy of a model. A target serves the loaded version until the next one is
 * ready. A version is therefore updated in place where both fit into memory, and otherwise by a load on another target.
 * Immutable and thread safe.
 */
public final class PlacementPlanner {
    /** Maximum number of searches for a target in one planning run; further loads wait for the next run. */
    private static final int MAXIMUM_SEARCHES = 64;

    /**
     * Number of failed searches for memory after which further models that have a copy wait for the next planning run.
     */
    private static final int MAXIMUM_FAILED_SEARCHES = 4;

    private final PlacementSettings settings;

    public PlacementPlanner(PlacementSettings settings) {
        this.settings = settings;
    }

    /** Returns the target orders to submit now and the loads that have to wait. */
    public PlacementPlan plan(PlacementInput input) {
        return new PlanningRun(input).plan();
    }

    /** State of one planning run. */
    private final class PlanningRun {
        private final Rules rules;
        private final PlanningState planningState;
        private final EvictionPlanner evictionPlanner;
        private final List<WaitingLoad> waiting = new ArrayList<>();
        private int availableLoads;
        private int searches;
        private int failedSearches;

        PlanningRun(PlacementInput input) {
            rules = input.rules();
            planningState = new PlanningState(input);
            evictionPlanner = new EvictionPlanner(planningState, settings);
            availableLoads = input.availableLoads();
        }

        PlacementPlan plan() {
            planningState.models().forEach(this::unloadSurplus);
            List<Need> needs = new ArrayList<>();
            planningState.models().forEach(copies -> findNeed(copies).ifPresent(needs::add));
            needs.sort(Need.BY_PRIORITY);
            needs.forEach(this::planLoad);
            planningState.models().stream()
                    .filter(copies -> copies.adapterRule().isPresent())
                    .filter(copies ->
                            copies.demand().shortRate() > 0 || copies.demand().waiting() > 0)
                    .sorted(Comparator.comparing(ModelCopies::demand, Need.HIGHEST_DEMAND_FIRST)
                            .thenComparing(ModelCopies::model))
                    .forEach(this::planAdapterLoad);
            return new PlacementPlan(planningState.orders(), waiting);
        }

        /** Unloads replaced copies of an outdated version, and copies above the maximum. */
        private void unloadSurplus(ModelCopies copies) {
            if (copies.rule().isEmpty() || copies.copies().size() < 2) {
                return;
            }
            Rules.Model rule = copies.rule().get();
            int requiredCopies = Math.max(1, Math.min(rule.maximumCopies(), copies.desiredCopies(settings)));
            for (Copy copy : List.copyOf(copies.copies())) {
                boolean outdated = !copies.isCurrent(copy) && copies.stableCurrentCopies() >= requiredCopies;
                boolean surplus = copies.isCurrent(copy) && copies.stableCurrentCopies() > rule.maximumCopies();
                if (copy.isStable() && copy.target().accepts(copy.model()) && (outdated || surplus)) {
                    planningState.unload(copy, outdated ? PlacementReason.OUTDATED : PlacementReason.ABOVE_MAXIMUM);
                }
            }
        }

        private Optional<Need> findNeed(ModelCopies copies) {
            if (copies.rule().isEmpty()) {
                return Optional.empty();
            }
            int currentCopies = copies.currentCopiesExpected();
            int ready = copies.readyCopies();
            if (!copies.hasReadyOrExpectedCopy()) {
                return Optional.of(new Need(copies, PlacementReason.NO_COPY));
            }
            boolean outdated = copies.copies().stream().anyMatch(copy -> copy.isReady() && !copies.isCurrent(copy));
            if (outdated && currentCopies < Math.max(1, copies.desiredCopies(settings))) {
                return Optional.of(new Need(copies, PlacementReason.VERSION));
            }
            if (currentCopies >= copies.desiredCopies(settings)) {
                return Optional.empty();
            }
            if (ready == 0 && copies.demand().waiting() > 0) {
                return Optional.of(new Need(copies, PlacementReason.CALLERS_WAITING));
            }
            return Optional.of(new Need(
                    copies,
                    currentCopies < copies.minimumCopies() ? PlacementReason.BELOW_MINIMUM : PlacementReason.DEMAND));
        }

        private void planLoad(Need need) {
            boolean limited = availableLoads <= 0
                    || planningState.modelLoads() >= rules.storeLimits().loadsInFlight();
            if (limited || searches >= MAXIMUM_SEARCHES) {
                waiting.add(new WaitingLoad(need.model(), need.reason(), Obstacle.STORE_LIMIT));
                return;
            }
            if (failedSearches >= MAXIMUM_FAILED_SEARCHES && need.reason() != PlacementReason.NO_COPY) {
                waiting.add(new WaitingLoad(need.model(), need.reason(), Obstacle.MEMORY));
                return;
            }
            searches++;
            Rules.Model rule = need.copies().rule().orElseThrow();
            if (need.reason() == PlacementReason.VERSION && updateInPlace(need.copies(), rule)) {
                return;
            }
            Optional<PlannedTarget> destination =
                    evictionPlanner.findTargetWithFreeMemory(need.copies(), rule.memoryBytes());
            if (destination.isPresent()) {
                load(destination.get(), need.copies(), rule, need.reason());
                return;
            }
            Obstacle obstacle = freeMemory(need, rule);
            failedSearches += obstacle == Obstacle.MEMORY ? 1 : 0;
            waiting.add(new WaitingLoad(need.model(), need.reason(), obstacle));
        }

        private void load(PlannedTarget target, ModelCopies copies, Rules.Model rule, PlacementReason reason) {
            planningState.load(target, copies, rule.version(), rule.memoryBytes(), reason);
            availableLoads--;
        }

        /**
         * Loads the new version beside the old one, one copy at a time, so that the update stops at a version that
         * fails to load.
         */
        private boolean updateInPlace(ModelCopies copies, Rules.Model rule) {
            if (copies.copies().stream().anyMatch(copy -> copy.isLoading() || copy.isBecomingReady())) {
                return true;
            }
            Optional<PlannedTarget> target = copies.copies().stream()
                    .filter(copy -> copy.isStable() && !copies.isCurrent(copy))
                    .map(Copy::target)
                    .filter(candidate -> candidate.accepts(copies.model())
                            && !candidate.avoids(copies.model())
                            && candidate.freeBytes() >= rule.memoryBytes())
                    .min(Comparator.comparing(PlannedTarget::id));
            target.ifPresent(found -> load(found, copies, rule, PlacementReason.VERSION));
            return target.isPresent();
        }

        private Obstacle freeMemory(Need need, Rules.Model rule) {
            if (evictionPlanner.reserveMemoryBeingFreed(need.copies(), rule.memoryBytes())) {
                return Obstacle.MEMORY_BEING_FREED;
            }
            Optional<EvictionPlanner.Eviction> eviction = evictionPlanner.findEviction(need, rule.memoryBytes());
            if (eviction.isPresent()) {
                eviction.get().copies().forEach(copy -> planningState.unload(copy, unloadReason(copy)));
                eviction.get().target().reserveMemory(rule.memoryBytes());
                return Obstacle.MEMORY_BEING_FREED;
            }
            if (need.reason() == PlacementReason.VERSION && unloadOutdated(need.copies())) {
                return Obstacle.MEMORY_BEING_FREED;
            }
            if (need.reason() == PlacementReason.NO_COPY) {
                Optional<EvictionPlanner.Relocation> relocation =
                        evictionPlanner.findRelocation(need.copies(), rule.memoryBytes());
                relocation.ifPresent(found -> {
                    ModelCopies moved = planningState.model(found.copy().model());
                    load(found.destination(), moved, moved.rule().orElseThrow(), PlacementReason.RELOCATION);
                });
                return relocation.isPresent() ? Obstacle.MEMORY_BEING_FREED : Obstacle.MEMORY;
            }
            return Obstacle.MEMORY;
        }

        /** Unloads one outdated copy if the model has other ready copies. */
        private boolean unloadOutdated(ModelCopies copies) {
            if (copies.copies().stream().filter(Copy::isStable).count() < 2) {
                return false;
            }
            Optional<Copy> outdated = copies.copies().stream()
                    .filter(copy -> copy.isStable() && !copies.isCurrent(copy))
                    .filter(copy -> copy.target().accepts(copy.model()))
                    .min(Comparator.comparing(copy -> copy.target().id()));
            outdated.ifPresent(copy -> planningState.unload(copy, PlacementReason.VERSION));
            return outdated.isPresent();
        }

        private PlacementReason unloadReason(Copy copy) {
            return planningState.model(copy.model()).isInRules()
                    ? PlacementReason.MEMORY_NEEDED
                    : PlacementReason.NOT_IN_RULES;
        }

        private void planAdapterLoad(ModelCopies adapter) {
            ModelId model = adapter.model();
            Rules.Adapter rule = adapter.adapterRule().orElseThrow();
            int readyBaseCopies = planningState.model(model.base()).readyCopies();
            int desiredCopies = Math.min(
                    readyBaseCopies,
                    Math.max(1, settings.desiredCopies(adapter.demand().rate())));
            if (adapter.currentCopiesExpected() >= desiredCopies) {
                return;
            }
            if (planningState.adapterLoads() >= rules.storeLimits().adapterLoadsInFlight()) {
                waiting.add(new WaitingLoad(model, PlacementReason.ADAPTER_IN_USE, Obstacle.ADAPTER_LIMIT));
                return;
            }
            Optional<PlannedTarget> destination = evictionPlanner.findTargetWithFreeMemory(adapter, rule.memoryBytes());
            if (destination.isPresent()) {
                planningState.load(destination.get(), adapter, 1, rule.memoryBytes(), PlacementReason.ADAPTER_IN_USE);
                return;
            }
            Need need = new Need(adapter, PlacementReason.ADAPTER_IN_USE);
            Obstacle obstacle = Obstacle.MEMORY;
            if (evictionPlanner.reserveMemoryBeingFreed(adapter, rule.memoryBytes())) {
                obstacle = Obstacle.MEMORY_BEING_FREED;
            } else {
                Optional<EvictionPlanner.Eviction> eviction = evictionPlanner.findEviction(need, rule.memoryBytes());
                if (eviction.isPresent()) {
                    eviction.get().copies().forEach(copy -> planningState.unload(copy, unloadReason(copy)));
                    eviction.get().target().reserveMemory(rule.memoryBytes());
                    obstacle = Obstacle.MEMORY_BEING_FREED;
                }
            }
            waiting.add(new WaitingLoad(model, PlacementReason.ADAPTER_IN_USE, obstacle));
        }
    }

    /** A model that needs one more copy. */
    record Need(ModelCopies copies, PlacementReason reason) {
        /** Orders by waiting requests, then by rate, both descending. */
        static final Comparator<ModelDemand> HIGHEST_DEMAND_FIRST = Comparator.comparingInt(ModelDemand::waiting)
                .thenComparingDouble(ModelDemand::rate)
                .reversed();

        /** Models without a copy first, then those that requests wait for, then by reason and demand. */
        static final Comparator<Need> BY_PRIORITY = Comparator.comparing(Need::reason)
                .thenComparing(need -> need.copies().demand(), HIGHEST_DEMAND_FIRST)
                .thenComparing(Need::model);

        ModelId model() {
            return copies.model();
        }
    }
}
