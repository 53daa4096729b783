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
import org.basilrill.coordination.placement.Site.Copy;

/** Finds memory for one more copy: free, being freed, or held by something that may be unloaded. Not thread safe. */
final class EvictionPlanner {
    /** A copy in use goes for one that serves this many times as much, and the margin as a share of a copy more. */
    private static final double GAIN_FACTOR = 1.5;

    private static final double GAIN_MARGIN = 0.1;

    private final Fleet fleet;
    private final PlacementSettings settings;

    EvictionPlanner(Fleet fleet, PlacementSettings settings) {
        this.fleet = fleet;
        this.settings = settings;
    }

    /** Returns the best target with enough free memory: few copies in its data centre, then little demand. */
    Optional<Site> withRoom(ModelCopies copies, long bytes) {
        return fleet.sites().stream()
                .filter(site -> site.freeBytes() >= bytes && isCandidate(site, copies))
                .min(preference(copies));
    }

    /** Claims memory that unloads under way will free; false if there is not enough anywhere. */
    boolean claimBeingFreed(ModelCopies copies, long bytes) {
        Optional<Site> site = fleet.sites().stream()
                .filter(candidate -> candidate.releasingBytes() > 0
                        && candidate.freeBytes() + candidate.releasingBytes() >= bytes
                        && isPlaceFor(candidate, copies))
                .min(preference(copies));
        site.ifPresent(found -> found.claim(bytes));
        return site.isPresent();
    }

    /** Returns the least valuable copies of one target whose memory makes the room. */
    Optional<Eviction> eviction(Need need, long bytes) {
        Optional<Eviction> best = Optional.empty();
        for (Site site : fleet.sites()) {
            if (!isCandidate(site, need.copies())) {
                continue;
            }
            Optional<Eviction> found = eviction(site, need, bytes);
            if (found.isPresent()
                    && (best.isEmpty() || found.get().cost() < best.get().cost())) {
                best = found;
            }
        }
        return best;
    }

    /** Returns the only copy of a model that fits elsewhere and whose memory would make the room. */
    Optional<Relocation> relocation(ModelCopies needy, long bytes) {
        for (Site site : fleet.sites()) {
            if (!isPlaceFor(site, needy)) {
                continue;
            }
            for (Copy copy : sorted(site)) {
                ModelCopies moved = fleet.model(copy.model());
                if (moved.rule().isEmpty() || !copy.isSteady() || site.freeBytes() + memoryOf(copy) < bytes) {
                    continue;
                }
                Optional<Site> destination = withRoom(moved, moved.rule().get().memoryBytes());
                if (moved.rule().get().memoryBytes() < bytes && destination.isPresent()) {
                    return Optional.of(new Relocation(copy, destination.get()));
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Eviction> eviction(Site site, Need need, long bytes) {
        Map<ModelId, Integer> taken = new HashMap<>();
        List<Candidate> candidates = new ArrayList<>();
        for (Copy copy : site.copies()) {
            cost(copy, need).ifPresent(cost -> candidates.add(new Candidate(copy, cost)));
        }
        candidates.sort(Comparator.comparingDouble(Candidate::cost)
                .thenComparing(candidate -> candidate.copy().model()));
        long room = site.freeBytes() + site.releasingBytes();
        double cost = 0;
        List<Copy> chosen = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (room >= bytes) {
                break;
            }
            chosen.add(candidate.copy());
            room += memoryOf(candidate.copy());
            cost += candidate.cost();
            taken.merge(candidate.copy().model(), 1, Integer::sum);
        }
        return room >= bytes && !chosen.isEmpty() ? Optional.of(new Eviction(site, chosen, cost)) : Optional.empty();
    }

    /** Returns what the loss of a copy costs; empty if it must stay for this need. */
    private OptionalDouble cost(Copy copy, Need need) {
        ModelCopies copies = fleet.model(copy.model());
        if (copy.isUnloading()
                || copy.isLoading()
                || !copy.site().accepts(copy.model())
                || copy.model().equals(need.model().base())) {
            return OptionalDouble.empty();
        }
        if (copy.isStale() || !copies.isInRules()) {
            return OptionalDouble.of(0);
        }
        boolean withoutCopy = need.reason() == MoveReason.NO_COPY;
        double rate = copies.demand().rate();
        if (copy.isAdapter()) {
            boolean idle = copies.demand().shortRate() == 0 && copies.demand().waiting() == 0;
            boolean lessUsed = need.copies().demand().rate() > 2 * rate;
            return idle || withoutCopy || lessUsed
                    ? OptionalDouble.of(rate * copy.bytes() / (1 << 20))
                    : OptionalDouble.empty();
        }
        if (!copy.isSteady()) {
            return OptionalDouble.empty();
        }
        int left = copies.steady() - 1;
        boolean idle = left >= Math.max(1, copies.kept(settings));
        // The factor puts every copy in use behind all idle ones.
        double loss = unserved(copies, left);
        double value = idle ? 1 : 1e6 * (1 + loss);
        return idle || left >= Math.max(1, floor(copies, need, loss))
                ? OptionalDouble.of(value + copies.demand().rate() / (left + 1))
                : OptionalDouble.empty();
    }

    /** Returns the copies that a model keeps whatever the need. */
    private int floor(ModelCopies copies, Need need, double loss) {
        switch (need.reason()) {
            case NO_COPY:
                return 1;
            case BELOW_MINIMUM:
            case CALLERS_WAIT:
                return copies.minimum();
            default:
                // A copy in use goes only for one that clearly serves more, or two models would take turns.
                double gain = unserved(need.copies(), need.copies().ready());
                double margin = GAIN_MARGIN * settings.tokensPerSecondPerCopy();
                return gain > GAIN_FACTOR * loss + margin ? copies.minimum() : copies.kept(settings);
        }
    }

    /** Returns the tokens per second that one copy more than a number of copies would serve. */
    private double unserved(ModelCopies copies, int number) {
        double perCopy = settings.tokensPerSecondPerCopy();
        return Math.max(0, Math.min(perCopy, copies.demand().rate() - number * perCopy));
    }

    /** Returns the memory that is free once a copy and the adapters on it are gone. */
    private static long memoryOf(Copy copy) {
        return copy.bytes()
                + Fleet.adaptersOn(copy).stream().mapToLong(Copy::bytes).sum();
    }

    private static List<Copy> sorted(Site site) {
        return site.copies().stream().sorted(Comparator.comparing(Copy::model)).toList();
    }

    private boolean isCandidate(Site site, ModelCopies copies) {
        return site.accepts(copies.model()) && isPlaceFor(site, copies);
    }

    /** Returns whether the target holds none yet; an adapter also needs a ready copy of its base model there. */
    private boolean isPlaceFor(Site site, ModelCopies copies) {
        if (site.isLeaving() || site.copy(copies.model()) != null || site.avoids(copies.model())) {
            return false;
        }
        if (copies.model().adapter().isEmpty()) {
            return true;
        }
        Copy base = site.copy(copies.model().base());
        return base != null && base.isSteady();
    }

    private static Comparator<Site> preference(ModelCopies copies) {
        return Comparator.<Site>comparingInt(site -> copies.inDataCentre(site.dataCentre()))
                .thenComparingDouble(Site::rate)
                .thenComparing(Comparator.comparingLong(Site::freeBytes).reversed())
                .thenComparing(Site::id);
    }

    /** Copies of one target to unload for another load. */
    record Eviction(Site site, List<Copy> copies, double cost) {}

    /** A copy to make again elsewhere, so that its memory can be used. */
    record Relocation(Copy copy, Site destination) {}

    /** A copy that may be unloaded. */
    private record Candidate(Copy copy, double cost) {}
}
