package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.PlacementPlanner.Need;
import org.basilrill.coordination.placement.PlannedTarget.Copy;

/** Finds memory for one more copy: free, being freed, or reserved by copies that may be unloaded. Not thread safe. */
final class EvictionPlanner {
    /**
     * A copy in use is evicted only for one that serves more than this factor times its rate plus {@link #GAIN_MARGIN}.
     */
    private static final double GAIN_FACTOR = 1.5;

    /** Additional rate that the new copy must serve, as a fraction of the rate of one copy at full load. */
    private static final double GAIN_MARGIN = 0.1;

    private final PlanningState planningState;
    private final PlacementSettings settings;

    EvictionPlanner(PlanningState planningState, PlacementSettings settings) {
        this.planningState = planningState;
        this.settings = settings;
    }

    /**
     * Returns the best target with enough free memory: the fewest copies in its data centre, then the lowest demand.
     */
    Optional<PlannedTarget> findTargetWithFreeMemory(ModelCopies copies, long bytes) {
        return planningState.targets().stream()
                .filter(target -> target.freeBytes() >= bytes && canLoadNow(target, copies))
                .min(targetPreference(copies));
    }

    /** Reserves memory that unloads in flight will free; returns false if no target will have enough. */
    boolean reserveMemoryBeingFreed(ModelCopies copies, long bytes) {
        Optional<PlannedTarget> target = planningState.targets().stream()
                .filter(candidate -> candidate.bytesBeingFreed() > 0
                        && candidate.freeBytes() + candidate.bytesBeingFreed() >= bytes
                        && canHost(candidate, copies))
                .min(targetPreference(copies));
        target.ifPresent(found -> found.reserveMemory(bytes));
        return target.isPresent();
    }

    /** Returns the set of copies of one target with the lowest eviction cost whose memory suffices. */
    Optional<Eviction> findEviction(Need need, long bytes) {
        Optional<Eviction> best = Optional.empty();
        for (PlannedTarget target : planningState.targets()) {
            if (!canLoadNow(target, need.copies())) {
                continue;
            }
            Optional<Eviction> found = findEviction(target, need, bytes);
            if (found.isPresent()
                    && (best.isEmpty() || found.get().cost() < best.get().cost())) {
                best = found;
            }
        }
        return best;
    }

    /**
     * Returns a copy, usually the only one of its model, that fits on another target and whose memory suffices for the
     * new copy.
     */
    Optional<Relocation> findRelocation(ModelCopies copiesToPlace, long bytes) {
        for (PlannedTarget target : planningState.targets()) {
            if (!canHost(target, copiesToPlace)) {
                continue;
            }
            for (Copy copy : copiesByModel(target)) {
                ModelCopies moved = planningState.model(copy.model());
                if (moved.rule().isEmpty() || !copy.isStable() || target.freeBytes() + memoryOf(copy) < bytes) {
                    continue;
                }
                Optional<PlannedTarget> destination =
                        findTargetWithFreeMemory(moved, moved.rule().get().memoryBytes());
                if (moved.rule().get().memoryBytes() < bytes && destination.isPresent()) {
                    return Optional.of(new Relocation(copy, destination.get()));
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Eviction> findEviction(PlannedTarget target, Need need, long bytes) {
        Map<ModelId, Integer> chosenByModel = new HashMap<>();
        List<Candidate> candidates = new ArrayList<>();
        for (Copy copy : target.copies()) {
            evictionCost(copy, need).ifPresent(cost -> candidates.add(new Candidate(copy, cost)));
        }
        candidates.sort(Comparator.comparingDouble(Candidate::cost)
                .thenComparing(candidate -> candidate.copy().model()));
        long availableBytes = target.freeBytes() + target.bytesBeingFreed();
        double cost = 0;
        List<Copy> chosen = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (availableBytes >= bytes) {
                break;
            }
            chosen.add(candidate.copy());
            availableBytes += memoryOf(candidate.copy());
            cost += candidate.cost();
            chosenByModel.merge(candidate.copy().model(), 1, Integer::sum);
        }
        return availableBytes >= bytes && !chosen.isEmpty()
                ? Optional.of(new Eviction(target, chosen, cost))
                : Optional.empty();
    }

    /** Returns the cost of evicting a copy; empty if this need does not justify it. */
    private OptionalDouble evictionCost(Copy copy, Need need) {
        ModelCopies copies = planningState.model(copy.model());
        if (copy.isUnloading()
                || copy.isLoading()
                || !copy.target().accepts(copy.model())
                || copy.model().equals(need.model().base())) {
            return OptionalDouble.empty();
        }
        if (copy.isUnusedReservation() || !copies.isInRules()) {
            return OptionalDouble.of(0);
        }
        boolean withoutCopy = need.reason() == PlacementReason.NO_COPY;
        double rate = copies.demand().rate();
        if (copy.isAdapter()) {
            boolean idle = copies.demand().shortRate() == 0 && copies.demand().waiting() == 0;
            boolean lessUsed = need.copies().demand().rate() > 2 * rate;
            return idle || withoutCopy || lessUsed
                    ? OptionalDouble.of(rate * copy.bytes() / (1 << 20))
                    : OptionalDouble.empty();
        }
        if (!copy.isStable()) {
            return OptionalDouble.empty();
        }
        int remainingCopies = copies.stableCopies() - 1;
        boolean idle = remainingCopies >= Math.max(1, copies.retainedCopies(settings));
        // The factor orders every copy in use after all idle ones.
        double loss = rateServedByNextCopy(copies, remainingCopies);
        double value = idle ? 1 : 1e6 * (1 + loss);
        return idle || remainingCopies >= Math.max(1, copiesToKeep(copies, need, loss))
                ? OptionalDouble.of(value + copies.demand().rate() / (remainingCopies + 1))
                : OptionalDouble.empty();
    }

    /** Returns the number of copies that a model keeps despite the need of another model. */
    private int copiesToKeep(ModelCopies copies, Need need, double loss) {
        switch (need.reason()) {
            case NO_COPY:
                return 1;
            case BELOW_MINIMUM:
            case CALLERS_WAITING:
                return copies.minimumCopies();
            default:
                // A copy in use is evicted only for one that clearly serves more; otherwise two models would evict each
                // other in turn.
                double gain = rateServedByNextCopy(need.copies(), need.copies().readyCopies());
                double margin = GAIN_MARGIN * settings.tokensPerSecondPerCopy();
                return gain > GAIN_FACTOR * loss + margin ? copies.minimumCopies() : copies.retainedCopies(settings);
        }
    }

    /** Returns the tokens per second that one copy more than the given number would serve. */
    private double rateServedByNextCopy(ModelCopies copies, int copyCount) {
        double perCopy = settings.tokensPerSecondPerCopy();
        return Math.max(0, Math.min(perCopy, copies.demand().rate() - copyCount * perCopy));
    }

    /** Returns the memory that unloading a copy and its adapters frees. */
    private static long memoryOf(Copy copy) {
        return copy.bytes()
                + PlanningState.adaptersOn(copy).stream().mapToLong(Copy::bytes).sum();
    }

    private static List<Copy> copiesByModel(PlannedTarget target) {
        return target.copies().stream()
                .sorted(Comparator.comparing(Copy::model))
                .toList();
    }

    private boolean canLoadNow(PlannedTarget target, ModelCopies copies) {
        return target.accepts(copies.model()) && canHost(target, copies);
    }

    /**
     * Returns whether the target may load a copy: it has none yet and, for an adapter, a ready copy of the base model.
     */
    private boolean canHost(PlannedTarget target, ModelCopies copies) {
        if (target.isLeaving() || target.copyOf(copies.model()) != null || target.avoids(copies.model())) {
            return false;
        }
        if (copies.model().adapter().isEmpty()) {
            return true;
        }
        Copy base = target.copyOf(copies.model().base());
        return base != null && base.isStable();
    }

    private static Comparator<PlannedTarget> targetPreference(ModelCopies copies) {
        return Comparator.<PlannedTarget>comparingInt(target -> copies.copiesInDataCentre(target.dataCentre()))
                .thenComparingDouble(PlannedTarget::rate)
                .thenComparing(
                        Comparator.comparingLong(PlannedTarget::freeBytes).reversed())
                .thenComparing(PlannedTarget::id);
    }

    /** Copies of one target to unload, so that another copy can be loaded. */
    record Eviction(PlannedTarget target, List<Copy> copies, double cost) {}

    /** A copy to load on another target, so that its memory can be reused. */
    record Relocation(Copy copy, PlannedTarget destination) {}

    /** A copy that may be unloaded. */
    private record Candidate(Copy copy, double cost) {}
}
