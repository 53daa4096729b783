package org.basilrill.coordination.routing;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Chooses a target with a free slot for a request: of two random candidates, the one with the lower score.
 *
 * <p>The score is the load (reported by the target, decayed with age, plus held by this instance) plus the distance
 * minus the prefix affinity. Thread safe: state per target, each with its lock; the random generator is guarded here.
 */
public final class TargetRouter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String dataCentre;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final IntSupplier instances;
    private final RoutingOptions options;
    private final CandidateSubset subset;
    private final PrefixAffinity affinity = new PrefixAffinity();
    private final Map<TargetId, TargetState> states = new ConcurrentHashMap<>();

    /**
     * Creates a router without knowledge of any target.
     *
     * @param instances number of instances that share the targets, this one included
     */
    public TargetRouter(
            InstanceId instance,
            String dataCentre,
            MonotonicClock clock,
            RandomGenerator random,
            IntSupplier instances,
            RoutingOptions options) {
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.random = random;
        this.instances = instances;
        this.options = options;
        this.subset = new CandidateSubset(instance, dataCentre, options);
    }

    /**
     * Takes a slot at a target.
     *
     * @param destination name of the model or service, which decides the subset
     * @param ready targets that are ready for the destination and not leaving
     * @param excluded targets the request must not use
     * @param prefixHashes hashes of the prompt's prefixes, shortest first
     * @return empty if no candidate has a free slot now
     */
    public Optional<HeldSlot> acquire(
            String destination, Collection<TargetAnnouncement> ready, Set<TargetId> excluded, List<Long> prefixHashes) {
        List<TargetAnnouncement> usable = new ArrayList<>(ready.size());
        for (TargetAnnouncement target : ready) {
            if (target.leaving() || excluded.contains(target.id())) {
                continue;
            }
            TargetState state = stateOf(target);
            // The caller's snapshot may be older than the state when the target has just restarted.
            if (state.incarnation() == target.incarnation() && !state.isEjected()) {
                usable.add(target);
            }
        }
        List<TargetAnnouncement> free = new ArrayList<>(options.subsetSize());
        for (TargetAnnouncement target : subset.select(destination, usable)) {
            if (stateOf(target).hasFreeSlot()) {
                free.add(target);
            }
        }
        while (!free.isEmpty()) {
            TargetAnnouncement target = chooseOfTwo(free, prefixHashes);
            Optional<HeldSlot> slot = stateOf(target).tryAcquire(target);
            if (slot.isPresent()) {
                affinity.routed(target.id(), target.incarnation(), prefixHashes);
                return slot;
            }
            // Another thread took the last slot since the check above.
            free.remove(target);
        }
        return Optional.empty();
    }

    /** Gives a slot back. Must be called exactly once per slot. */
    public void release(HeldSlot slot, SlotResult result) {
        TargetState state = slot.state();
        switch (state.release(slot, result)) {
            case EJECTED:
                LOGGER.atWarning().log(
                        "%s: target %s for %s",
                        LogEvent.TARGET_EJECTED, slot.target().id(), state.ejectionLength());
                break;
            case RESTORED:
                LOGGER.atInfo().log(
                        "%s: target %s", LogEvent.TARGET_RESTORED, slot.target().id());
                break;
            default:
                break;
        }
    }

    /** Takes a target's report on its prefix cache. */
    public void received(CacheEvent event) {
        affinity.received(event);
    }

    /** Drops what is known of a target whose announcement expired, unless slots are held there or it has failed. */
    public void forget(TargetId target) {
        states.computeIfPresent(target, (id, state) -> state.isForgettable() ? null : state);
        affinity.forget(target);
    }

    /** Returns the slots this instance holds at the announced incarnation of the target. */
    public int held(TargetAnnouncement target) {
        TargetState state = states.get(target.id());
        return state == null || state.incarnation() != target.incarnation() ? 0 : state.held();
    }

    private TargetAnnouncement chooseOfTwo(List<TargetAnnouncement> free, List<Long> prefixHashes) {
        if (free.size() == 1) {
            return free.get(0);
        }
        int first;
        int second;
        synchronized (random) {
            first = random.nextInt(free.size());
            second = random.nextInt(free.size() - 1);
        }
        // Skips the first choice, so that the two always differ.
        TargetAnnouncement one = free.get(first);
        TargetAnnouncement other = free.get(second >= first ? second + 1 : second);
        return score(one, prefixHashes) <= score(other, prefixHashes) ? one : other;
    }

    private double score(TargetAnnouncement target, List<Long> prefixHashes) {
        double distance = target.dataCentre().equals(dataCentre) ? 0 : options.distancePenalty();
        double matched = affinity.matchedPart(target.id(), target.incarnation(), prefixHashes);
        return stateOf(target).load() + distance - matched * options.affinityWeight();
    }

    /** Returns the state of the announced incarnation; slots held at an earlier one do not count against it. */
    private TargetState stateOf(TargetAnnouncement target) {
        TargetState state = states.get(target.id());
        if (state == null || state.incarnation() < target.incarnation()) {
            state = states.compute(
                    target.id(),
                    (id, known) -> known == null || known.incarnation() < target.incarnation()
                            ? new TargetState(clock, options, target.incarnation())
                            : known);
        }
        state.observe(target, instances.getAsInt());
        return state;
    }
}
