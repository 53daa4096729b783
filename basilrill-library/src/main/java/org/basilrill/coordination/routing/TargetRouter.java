package org.basilrill.coordination.routing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Chooses a target with a free slot for a request. A request with a prompt goes to the candidate whose answer will
 * probably begin first: prompt tokens to read there, less those cached, requests that wait there, load and distance,
 * all in milliseconds. Other requests go to the less loaded of two random candidates. Thread safe: state per target,
 * each with its lock; the random generator is guarded here.
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
     * @param prompt prompt of the request, to find the targets that have read parts of it
     * @return empty if no candidate has a free slot now
     */
    public Optional<HeldSlot> acquire(
            String destination, Collection<TargetAnnouncement> ready, Set<TargetId> excluded, Prompt prompt) {
        List<TargetAnnouncement> free = freeTargets(destination, ready, excluded);
        while (!free.isEmpty()) {
            TargetAnnouncement target = prompt.isEmpty() ? chooseOfTwo(free) : soonest(free, prompt);
            long tokensToRead = Math.round(prompt.tokens() - cachedTokens(target, prompt, free));
            Optional<HeldSlot> slot = stateOf(target).tryAcquire(target, tokensToRead);
            if (slot.isPresent()) {
                affinity.routed(target.id(), target.incarnation(), prompt.prefixHashes());
                return slot;
            }
            // Another thread took the last slot since the check above.
            free.remove(target);
        }
        return Optional.empty();
    }

    /**
     * Returns how long it probably takes until the answer begins at the best target with a free slot.
     *
     * @return empty if no target has a free slot, or if nothing is known of the prompt
     */
    public Optional<Duration> timeToBegin(
            String destination, Collection<TargetAnnouncement> ready, Set<TargetId> excluded, Prompt prompt) {
        if (prompt.isEmpty()) {
            return Optional.empty();
        }
        List<TargetAnnouncement> free = freeTargets(destination, ready, excluded);
        return free.stream().map(target -> timeToBegin(target, prompt, free)).min(Comparator.naturalOrder());
    }

    /** Returns how long one target takes to read this many tokens from each instance. */
    public Duration timeToRead(long tokens) {
        double millis = tokens * Math.max(1, instances.getAsInt()) / options.tokensPerMilli();
        return Duration.ofMillis(Math.round(millis));
    }

    private Duration timeToBegin(TargetAnnouncement target, Prompt prompt, List<TargetAnnouncement> free) {
        TargetState state = stateOf(target);
        double ownTokens = prompt.tokens() - cachedTokens(target, prompt, free);
        double millis = (ownTokens + state.pendingTokens()) / options.tokensPerMilli();
        double waiting = Math.max(state.waiting() * options.millisPerWaiting(), state.waitMillis());
        return Duration.ofMillis(Math.round(millis + waiting));
    }

    private List<TargetAnnouncement> freeTargets(
            String destination, Collection<TargetAnnouncement> ready, Set<TargetId> excluded) {
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
        return free;
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

    /** Notes that the answer for a slot began, and the load that the target told with it. */
    public void answered(HeldSlot slot, Optional<TargetAnnouncement.Load> load) {
        slot.state().answered(slot);
        load.ifPresent(slot.state()::told);
    }

    /** Notes that a slot is given back without an answer. */
    public void abandoned(HeldSlot slot) {
        slot.state().abandoned(slot);
    }

    private TargetAnnouncement chooseOfTwo(List<TargetAnnouncement> free) {
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
        return score(one) <= score(other) ? one : other;
    }

    private double score(TargetAnnouncement target) {
        return stateOf(target).load() + distance(target);
    }

    private double distance(TargetAnnouncement target) {
        return target.dataCentre().equals(dataCentre) ? 0 : options.distancePenalty();
    }

    /** Returns the target whose answer will probably begin first. */
    private TargetAnnouncement soonest(List<TargetAnnouncement> free, Prompt prompt) {
        TargetAnnouncement best = free.get(0);
        double least = Double.MAX_VALUE;
        for (TargetAnnouncement target : free) {
            double millis = millisToFirstToken(target, prompt, free);
            if (millis < least) {
                least = millis;
                best = target;
            }
        }
        return best;
    }

    private double millisToFirstToken(TargetAnnouncement target, Prompt prompt, List<TargetAnnouncement> free) {
        TargetState state = stateOf(target);
        double toRead = prompt.tokens() - cachedTokens(target, prompt, free) + state.pendingTokens();
        double waiting = Math.max(state.waiting() * options.millisPerWaiting(), state.waitMillis());
        double chance;
        synchronized (random) {
            chance = random.nextDouble() * options.millisOfChance();
        }
        double load = (state.load() + distance(target)) * options.millisOfFullTarget();
        return toRead / options.tokensPerMilli() + waiting + load + chance;
    }

    /** Returns what the target has probably cached: what this instance sent there, or what all instances send there. */
    private double cachedTokens(TargetAnnouncement target, Prompt prompt, List<TargetAnnouncement> free) {
        double known = affinity.cachedTokens(target.id(), target.incarnation(), prompt);
        int shared = prompt.sharedParts();
        if (shared == 0 || !isPreferred(target, prompt.prefixHashes().get(shared - 1), free)) {
            return known;
        }
        return Math.max(known, options.preferredTrust() * prompt.tokensOf(shared));
    }

    /** Returns whether the target comes first for a shared prefix; all instances agree on it without a message. */
    private static boolean isPreferred(TargetAnnouncement target, long prefixHash, List<TargetAnnouncement> free) {
        long weight = preference(target, prefixHash);
        return free.stream().allMatch(other -> preference(other, prefixHash) <= weight);
    }

    private static long preference(TargetAnnouncement target, long prefixHash) {
        return new SplittableRandom(prefixHash ^ ((long) target.id().value().hashCode() << 32)).nextLong();
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
