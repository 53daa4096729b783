package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.PlacementPlan.Obstacle;
import org.basilrill.coordination.placement.PlacementPlan.WaitingLoad;
import org.basilrill.coordination.placement.Site.Copy;
import org.basilrill.state.configuration.Rules;

/**
 * Decides which models and adapters targets load and unload. The same input gives the same plan.
 *
 * <p>A plan never unloads the last ready copy of a model. A target keeps serving the loaded version until it is ready
 * with the next one, so a version changes in place where both fit, and otherwise by way of another target. Immutable
 * and thread safe.
 */
public final class PlacementPlanner {
    /** Bounds the search for targets in one decision; loads beyond it are looked at again in the next one. */
    private static final int MAXIMUM_SEARCHES = 64;

    /** Searches in vain for memory after which further models that have a copy wait for the next decision. */
    private static final int MAXIMUM_FAILURES = 4;

    private final PlacementSettings settings;

    public PlacementPlanner(PlacementSettings settings) {
        this.settings = settings;
    }

    /** Returns the orders to give now and the loads that have to wait. */
    public PlacementPlan plan(PlacementInput input) {
        return new Decision(input).plan();
    }

    /** One decision under way. */
    private final class Decision {
        private final Rules rules;
        private final Fleet fleet;
        private final EvictionPlanner rooms;
        private final List<WaitingLoad> waiting = new ArrayList<>();
        private int storeTokens;
        private int searches;
        private int failures;

        Decision(PlacementInput input) {
            rules = input.rules();
            fleet = new Fleet(input);
            rooms = new EvictionPlanner(fleet, settings);
            storeTokens = input.storeTokens();
        }

        PlacementPlan plan() {
            fleet.models().forEach(this::release);
            List<Need> needs = new ArrayList<>();
            fleet.models().forEach(copies -> need(copies).ifPresent(needs::add));
            needs.sort(Need.ORDER);
            needs.forEach(this::satisfy);
            fleet.models().stream()
                    .filter(copies -> copies.adapterRule().isPresent())
                    .filter(copies ->
                            copies.demand().shortRate() > 0 || copies.demand().waiting() > 0)
                    .sorted(Comparator.comparing(ModelCopies::demand, Need.MOST_DEMANDED)
                            .thenComparing(ModelCopies::model))
                    .forEach(this::adapter);
            return new PlacementPlan(fleet.moves(), waiting);
        }

        /** Unloads copies of an older version that were replaced, and copies above the maximum. */
        private void release(ModelCopies copies) {
            if (copies.rule().isEmpty() || copies.copies().size() < 2) {
                return;
            }
            Rules.Model rule = copies.rule().get();
            int enough = Math.max(1, Math.min(rule.maximumCopies(), copies.wanted(settings)));
            for (Copy copy : List.copyOf(copies.copies())) {
                boolean outdated = !copies.isCurrent(copy) && copies.steadyAndCurrent() >= enough;
                boolean excess = copies.isCurrent(copy) && copies.steadyAndCurrent() > rule.maximumCopies();
                if (copy.isSteady() && copy.site().accepts(copy.model()) && (outdated || excess)) {
                    fleet.unload(copy, outdated ? MoveReason.OUTDATED : MoveReason.ABOVE_MAXIMUM);
                }
            }
        }

        private Optional<Need> need(ModelCopies copies) {
            if (copies.rule().isEmpty()) {
                return Optional.empty();
            }
            int present = copies.currentOrComing();
            int ready = copies.ready();
            if (!copies.hasCopyOrIsComing()) {
                return Optional.of(new Need(copies, MoveReason.NO_COPY));
            }
            boolean outdated = copies.copies().stream().anyMatch(copy -> copy.isReady() && !copies.isCurrent(copy));
            if (outdated && present < Math.max(1, copies.wanted(settings))) {
                return Optional.of(new Need(copies, MoveReason.VERSION));
            }
            if (present >= copies.wanted(settings)) {
                return Optional.empty();
            }
            if (ready == 0 && copies.demand().waiting() > 0) {
                return Optional.of(new Need(copies, MoveReason.CALLERS_WAIT));
            }
            return Optional.of(
                    new Need(copies, present < copies.minimum() ? MoveReason.BELOW_MINIMUM : MoveReason.DEMAND));
        }

        private void satisfy(Need need) {
            boolean limited = storeTokens <= 0
                    || fleet.modelLoads() >= rules.storeLimits().loadsInFlight();
            if (limited || searches >= MAXIMUM_SEARCHES) {
                waiting.add(new WaitingLoad(need.model(), need.reason(), Obstacle.STORE_LIMIT));
                return;
            }
            if (failures >= MAXIMUM_FAILURES && need.reason() != MoveReason.NO_COPY) {
                waiting.add(new WaitingLoad(need.model(), need.reason(), Obstacle.MEMORY));
                return;
            }
            searches++;
            Rules.Model rule = need.copies().rule().orElseThrow();
            if (need.reason() == MoveReason.VERSION && changeInPlace(need.copies(), rule)) {
                return;
            }
            Optional<Site> room = rooms.withRoom(need.copies(), rule.memoryBytes());
            if (room.isPresent()) {
                load(room.get(), need.copies(), rule, need.reason());
                return;
            }
            Obstacle obstacle = makeRoom(need, rule);
            failures += obstacle == Obstacle.MEMORY ? 1 : 0;
            waiting.add(new WaitingLoad(need.model(), need.reason(), obstacle));
        }

        private void load(Site site, ModelCopies copies, Rules.Model rule, MoveReason reason) {
            fleet.load(site, copies, rule.version(), rule.memoryBytes(), reason);
            storeTokens--;
        }

        /** Loads the new version beside the old one; one copy at a time, so that a bad version stops the change. */
        private boolean changeInPlace(ModelCopies copies, Rules.Model rule) {
            if (copies.copies().stream().anyMatch(copy -> copy.isLoading() || copy.isComing())) {
                return true;
            }
            Optional<Site> site = copies.copies().stream()
                    .filter(copy -> copy.isSteady() && !copies.isCurrent(copy))
                    .map(Copy::site)
                    .filter(candidate -> candidate.accepts(copies.model())
                            && !candidate.avoids(copies.model())
                            && candidate.freeBytes() >= rule.memoryBytes())
                    .min(Comparator.comparing(Site::id));
            site.ifPresent(found -> load(found, copies, rule, MoveReason.VERSION));
            return site.isPresent();
        }

        private Obstacle makeRoom(Need need, Rules.Model rule) {
            if (rooms.claimBeingFreed(need.copies(), rule.memoryBytes())) {
                return Obstacle.MEMORY_BEING_FREED;
            }
            Optional<EvictionPlanner.Eviction> eviction = rooms.eviction(need, rule.memoryBytes());
            if (eviction.isPresent()) {
                eviction.get().copies().forEach(copy -> fleet.unload(copy, reason(copy)));
                eviction.get().site().claim(rule.memoryBytes());
                return Obstacle.MEMORY_BEING_FREED;
            }
            if (need.reason() == MoveReason.VERSION && releaseOutdated(need.copies())) {
                return Obstacle.MEMORY_BEING_FREED;
            }
            if (need.reason() == MoveReason.NO_COPY) {
                Optional<EvictionPlanner.Relocation> relocation = rooms.relocation(need.copies(), rule.memoryBytes());
                relocation.ifPresent(found -> {
                    ModelCopies moved = fleet.model(found.copy().model());
                    load(found.destination(), moved, moved.rule().orElseThrow(), MoveReason.MOVE_AWAY);
                });
                return relocation.isPresent() ? Obstacle.MEMORY_BEING_FREED : Obstacle.MEMORY;
            }
            return Obstacle.MEMORY;
        }

        /** Frees the memory of one outdated copy when others keep the model ready. */
        private boolean releaseOutdated(ModelCopies copies) {
            if (copies.copies().stream().filter(Copy::isSteady).count() < 2) {
                return false;
            }
            Optional<Copy> outdated = copies.copies().stream()
                    .filter(copy -> copy.isSteady() && !copies.isCurrent(copy))
                    .filter(copy -> copy.site().accepts(copy.model()))
                    .min(Comparator.comparing(copy -> copy.site().id()));
            outdated.ifPresent(copy -> fleet.unload(copy, MoveReason.VERSION));
            return outdated.isPresent();
        }

        private MoveReason reason(Copy copy) {
            return fleet.model(copy.model()).isInRules() ? MoveReason.MAKE_ROOM : MoveReason.NOT_IN_RULES;
        }

        private void adapter(ModelCopies adapter) {
            ModelId model = adapter.model();
            Rules.Adapter rule = adapter.adapterRule().orElseThrow();
            int bases = fleet.model(model.base()).ready();
            int wanted = Math.min(
                    bases, Math.max(1, settings.wantedCopies(adapter.demand().rate())));
            if (adapter.currentOrComing() >= wanted) {
                return;
            }
            if (fleet.adapterLoads() >= rules.storeLimits().adapterLoadsInFlight()) {
                waiting.add(new WaitingLoad(model, MoveReason.ADAPTER_IN_USE, Obstacle.ADAPTER_LIMIT));
                return;
            }
            Optional<Site> room = rooms.withRoom(adapter, rule.memoryBytes());
            if (room.isPresent()) {
                fleet.load(room.get(), adapter, 1, rule.memoryBytes(), MoveReason.ADAPTER_IN_USE);
                return;
            }
            Need need = new Need(adapter, MoveReason.ADAPTER_IN_USE);
            Obstacle obstacle = Obstacle.MEMORY;
            if (rooms.claimBeingFreed(adapter, rule.memoryBytes())) {
                obstacle = Obstacle.MEMORY_BEING_FREED;
            } else {
                Optional<EvictionPlanner.Eviction> eviction = rooms.eviction(need, rule.memoryBytes());
                if (eviction.isPresent()) {
                    eviction.get().copies().forEach(copy -> fleet.unload(copy, reason(copy)));
                    eviction.get().site().claim(rule.memoryBytes());
                    obstacle = Obstacle.MEMORY_BEING_FREED;
                }
            }
            waiting.add(new WaitingLoad(model, MoveReason.ADAPTER_IN_USE, obstacle));
        }
    }

    /** A model that wants one more copy. */
    record Need(ModelCopies copies, MoveReason reason) {
        /** Models whose callers wait, then those with the highest rate. */
        static final Comparator<ModelDemand> MOST_DEMANDED = Comparator.comparingInt(ModelDemand::waiting)
                .thenComparingDouble(ModelDemand::rate)
                .reversed();

        /** Models without a copy, then those whose callers wait, then by reason and demand. */
        static final Comparator<Need> ORDER = Comparator.comparing(Need::reason)
                .thenComparing(need -> need.copies().demand(), MOST_DEMANDED)
                .thenComparing(Need::model);

        ModelId model() {
            return copies.model();
        }
    }
}
