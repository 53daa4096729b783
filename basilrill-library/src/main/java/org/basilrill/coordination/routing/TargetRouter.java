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
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Chooses a target with a free slot for a request. A request with a prompt goes to the candidate with the lowest
 * estimated time to the first token: prompt tokens to process, minus those cached, plus queued requests, load and
 * distance, all in milliseconds. Other requests go to the less loaded of two random candidates. Thread safe: the state
 * of each target has its own lock; the random generator is guarded here.
 */
public final class TargetRouter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String dataCentre;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final IntSupplier instanceCount;
    private final RoutingOptions options;
    private final RequestPermits permits;
    private final TargetRestrictions restrictions;
    private final CandidateSubset subset;
    private final PrefixAffinity affinity = new PrefixAffinity();
    private final CachedTokens cachedTokens;
    private final TimingTable timings;
    private final Optional<PredictiveChoice> prediction;
    private final Map<TargetId, TargetState> states = new ConcurrentHashMap<>();

    /** Creates a router without state of any target, for targets that accept any number of requests per second. */
    public TargetRouter(
            InstanceId instance,
            String dataCentre,
            MonotonicClock clock,
            RandomGenerator random,
            IntSupplier instanceCount,
            RoutingOptions options) {
        this(
                instance,
                dataCentre,
                clock,
                random,
                instanceCount,
                options,
                RequestPermits.UNLIMITED,
                TargetRestrictions.none(instance, clock));
    }

    /**
     * Creates a router without state of any target.
     *
     * @param instanceCount number of instances that share the targets, including this one
     * @param permits permits for targets that state a request rate
     * @param restrictions what targets have stated in their responses
     */
    public TargetRouter(
            InstanceId instance,
            String dataCentre,
            MonotonicClock clock,
            RandomGenerator random,
            IntSupplier instanceCount,
            RoutingOptions options,
            RequestPermits permits,
            TargetRestrictions restrictions) {
        this.permits = permits;
        this.restrictions = restrictions;
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.random = random;
        this.instanceCount = instanceCount;
        this.options = options;
        this.subset = new CandidateSubset(instance, dataCentre, options);
        this.cachedTokens = new CachedTokens(affinity, options);
        this.timings = new TimingTable(options);
        this.prediction = options.prediction() != RoutingOptions.Prediction.OFF
                ? Optional.of(new PredictiveChoice(
                        dataCentre, clock, random, instanceCount, options, timings, this::stateOf, cachedTokens))
                : Optional.empty();
    }

    /** Limits the tokens of the requests at each target; has an effect only with prediction. */
    public void setEngineMemory(EngineMemory memory) {
        prediction.ifPresent(enabled -> enabled.setMemory(memory));
    }

    /** Acquires a slot at a target for a request of which only the prompt is known. */
    public Optional<AcquiredSlot> acquire(
            String destination, Collection<TargetAnnouncement> ready, Set<TargetId> excluded, Prompt prompt) {
        return acquire(destination, ready, excluded, prompt, RequestProfile.unknown());
    }

    /**
     * Acquires a slot at a target.
     *
     * @param destination name of the model or service, which determines the subset
     * @param ready targets that are ready for the destination and not leaving
     * @param excluded targets that the request must not use
     * @param prompt prompt of the request, to find the targets that have cached parts of it
     * @return empty if no candidate has a free slot now
     */
    public Optional<AcquiredSlot> acquire(
            String destination,
            Collection<TargetAnnouncement> ready,
            Set<TargetId> excluded,
            Prompt prompt,
            RequestProfile profile) {
        List<TargetAnnouncement> free = freeTargets(destination, ready, excluded);
        while (!free.isEmpty()) {
            Optional<TargetAnnouncement> chosen = choose(free, ready.size(), prompt, profile);
            if (chosen.isEmpty()) {
                return Optional.empty();
            }
            TargetAnnouncement target = chosen.get();
            Optional<AcquiredSlot> slot = tryAcquire(target, workOf(target, prompt, profile, free), profile);
            if (slot.isPresent()) {
                affinity.requestRouted(target.id(), target.incarnation(), prompt.prefixHashes());
                return slot;
            }
            // Another thread acquired the last slot or permit since the check above.
            free.remove(target);
        }
        return Optional.empty();
    }

    private Optional<TargetAnnouncement> choose(
            List<TargetAnnouncement> free, int known, Prompt prompt, RequestProfile profile) {
        Optional<PredictiveChoice> predictive = predictionFor(free.get(0));
        if (predictive.isPresent()) {
            return predictive.get().choose(free, known, prompt, profile);
        }
        return Optional.of(prompt.isEmpty() ? lessLoadedOfTwo(free) : withEarliestFirstToken(free, prompt));
    }

    private PromptWork workOf(
            TargetAnnouncement target, Prompt prompt, RequestProfile profile, List<TargetAnnouncement> free) {
        boolean preferred = isPreferred(target, prompt, free);
        return predictionFor(target)
                .map(enabled -> enabled.work(target, prompt, profile, preferred))
                .orElseGet(() -> PromptWork.ofTokens(prompt.tokens() - cachedTokens.of(target, prompt, preferred)));
    }

    private int slotLimit(TargetAnnouncement target) {
        return restrictions.slotLimit(target).orElse(Integer.MAX_VALUE);
    }

    /** Acquires a slot, and a permit if the target states a request rate. */
    private Optional<AcquiredSlot> tryAcquire(TargetAnnouncement target, PromptWork work, RequestProfile profile) {
        if (!permits.acquire(target)) {
            return Optional.empty();
        }
        Optional<AcquiredSlot> slot = stateOf(target).tryAcquire(target, work, profile, slotLimit(target));
        if (slot.isEmpty()) {
            permits.release(target);
        }
        return slot;
    }

    /**
     * Returns the lowest estimated time until the response begins, over all targets with a free slot.
     *
     * @return empty if no target has a free slot, or if the prompt is empty
     */
    public Optional<Duration> timeToFirstToken(
            String destination, Collection<TargetAnnouncement> ready, Set<TargetId> excluded, Prompt prompt) {
        if (prompt.isEmpty()) {
            return Optional.empty();
        }
        List<TargetAnnouncement> free = freeTargets(destination, ready, excluded);
        return free.stream()
                .map(target -> timeToFirstToken(target, prompt, free))
                .min(Comparator.naturalOrder());
    }

    /**
     * Returns the forecast for the target whose response would begin first.
     *
     * @return empty if no target has a free slot, or if nothing is forecast
     */
    public Optional<ResponseForecast> forecast(
            String destination,
            Collection<TargetAnnouncement> ready,
            Set<TargetId> excluded,
            Prompt prompt,
            RequestProfile profile) {
        return ready.stream()
                .findFirst()
                .flatMap(this::predictionFor)
                .flatMap(enabled -> enabled.forecast(freeTargets(destination, ready, excluded), prompt, profile));
    }

    /** Returns the choice by learned response times if it applies to the service of the target. */
    private Optional<PredictiveChoice> predictionFor(TargetAnnouncement target) {
        return prediction.filter(enabled -> options.prediction() == RoutingOptions.Prediction.ALWAYS
                || timings.of(target).statesPace());
    }

    /** Returns the estimated time in which one target processes this many prompt tokens from each instance. */
    public Duration prefillTime(long tokens) {
        double millis = tokens * Math.max(1, instanceCount.getAsInt()) / options.prefillTokensPerMilli();
        return Duration.ofMillis(Math.round(millis));
    }

    private Duration timeToFirstToken(TargetAnnouncement target, Prompt prompt, List<TargetAnnouncement> free) {
        TargetState state = stateOf(target);
        double uncachedTokens = prompt.tokens() - cachedTokens.of(target, prompt, isPreferred(target, prompt, free));
        double millis = (uncachedTokens + state.pendingTokens()) / options.prefillTokensPerMilli();
        double queueingMillis = Math.max(state.waiting() * options.millisPerQueuedRequest(), state.waitMillis());
        return Duration.ofMillis(Math.round(millis + queueingMillis));
    }

    private List<TargetAnnouncement> freeTargets(
            String destination, Collection<TargetAnnouncement> ready, Set<TargetId> excluded) {
        List<TargetAnnouncement> usable = new ArrayList<>(ready.size());
        for (TargetAnnouncement target : ready) {
            if (target.leaving() || excluded.contains(target.id()) || !restrictions.accepts(target)) {
                continue;
            }
            TargetState state = stateOf(target);
            // The given announcement may be older than the state if the target has just restarted.
            if (state.incarnation() == target.incarnation() && !state.isEjected()) {
                usable.add(target);
            }
        }
        List<TargetAnnouncement> free = new ArrayList<>(options.subsetSize());
        for (TargetAnnouncement target : subset.select(destination, usable)) {
            if (stateOf(target).hasFreeSlot(slotLimit(target)) && permits.isAvailable(target)) {
                free.add(target);
            }
        }
        return free;
    }

    /** Releases a slot. Must be called exactly once per slot. */
    public void release(AcquiredSlot slot, SlotResult result) {
        TargetState state = slot.state();
        TargetState.HealthChange change = state.release(slot, result);
        restrictions.paces().ifPresent(paces -> paces.released(slot, result, change));
        switch (change) {
            case EJECTED:
                LOGGER.atWarning().log(
                        "%s: target %s for %s",
                        LogEvent.TARGET_EJECTED, slot.target().id(), state.ejectionDuration());
                break;
            case RESTORED:
                LOGGER.atInfo().log(
                        "%s: target %s", LogEvent.TARGET_RESTORED, slot.target().id());
                break;
            default:
                break;
        }
    }

    /** Returns what targets have stated in their responses. */
    public TargetRestrictions restrictions() {
        return restrictions;
    }

    /** Applies a cache event of a target. */
    public void received(CacheEvent event) {
        affinity.received(event);
    }

    /**
     * Removes the state of a target whose announcement expired, unless slots are in use there or it has recent
     * failures.
     */
    public void removeTarget(TargetId target) {
        states.computeIfPresent(target, (id, state) -> state.isDiscardable() ? null : state);
        affinity.removeTarget(target);
    }

    /** Returns the number of slots that this instance uses at the announced incarnation of the target. */
    public int slotsInUse(TargetAnnouncement target) {
        TargetState state = states.get(target.id());
        return state == null || state.incarnation() != target.incarnation() ? 0 : state.slotsInUse();
    }

    /** Records that the response for a slot began, and the load that the target reported with it. */
    public void responseStarted(AcquiredSlot slot, Optional<TargetAnnouncement.Load> load) {
        slot.state().responseStarted(slot);
        restrictions.paces().ifPresent(paces -> paces.responseStarted(slot));
        load.ifPresent(slot.state()::observeResponseLoad);
    }

    /** Records that the first event of the response for a slot was received; later calls have no effect. */
    public void firstEventReceived(AcquiredSlot slot) {
        slot.state().firstEventReceived(slot);
    }

    /** Records that a slot is released without a response. */
    public void endedWithoutResponse(AcquiredSlot slot) {
        slot.state().endedWithoutResponse(slot);
    }

    private TargetAnnouncement lessLoadedOfTwo(List<TargetAnnouncement> free) {
        if (free.size() == 1) {
            return free.get(0);
        }
        int first;
        int second;
        synchronized (random) {
            first = random.nextInt(free.size());
            second = random.nextInt(free.size() - 1);
        }
        // Skips the first choice, so that the two are always different.
        TargetAnnouncement one = free.get(first);
        TargetAnnouncement other = free.get(second >= first ? second + 1 : second);
        return score(one) <= score(other) ? one : other;
    }

    private double score(TargetAnnouncement target) {
        return stateOf(target).load() + distance(target);
    }

    private boolean isPreferred(TargetAnnouncement target, Prompt prompt, List<TargetAnnouncement> free) {
        int preferred = cachedTokens.preferred(prompt, free);
        return preferred >= 0 && free.get(preferred).id().equals(target.id());
    }

    private double distance(TargetAnnouncement target) {
        return target.dataCentre().equals(dataCentre) ? 0 : options.distancePenalty();
    }

    /** Returns the target with the lowest estimated time to the first token. */
    private TargetAnnouncement withEarliestFirstToken(List<TargetAnnouncement> free, Prompt prompt) {
        TargetAnnouncement best = free.get(0);
        double lowestMillis = Double.MAX_VALUE;
        for (TargetAnnouncement target : free) {
            double millis = millisToFirstToken(target, prompt, free);
            if (millis < lowestMillis) {
                lowestMillis = millis;
                best = target;
            }
        }
        return best;
    }

    private double millisToFirstToken(TargetAnnouncement target, Prompt prompt, List<TargetAnnouncement> free) {
        TargetState state = stateOf(target);
        double tokensToPrefill = prompt.tokens()
                - cachedTokens.of(target, prompt, isPreferred(target, prompt, free))
                + state.pendingTokens();
        double queueingMillis = Math.max(state.waiting() * options.millisPerQueuedRequest(), state.waitMillis());
        double jitter;
        synchronized (random) {
            jitter = random.nextDouble() * options.maxJitterMillis();
        }
        double load = (state.load() + distance(target)) * options.fullTargetDelayMillis();
        return tokensToPrefill / options.prefillTokensPerMilli() + queueingMillis + load + jitter;
    }

    /** Returns the state of the announced incarnation. Slots in use at an earlier incarnation do not count. */
    private TargetState stateOf(TargetAnnouncement target) {
        TargetState state = states.get(target.id());
        if (state == null || state.incarnation() < target.incarnation()) {
            state = states.compute(
                    target.id(),
                    (id, existing) -> existing == null || existing.incarnation() < target.incarnation()
                            ? newState(target)
                            : existing);
        }
        state.observe(target, instanceCount.getAsInt());
        return state;
    }

    private TargetState newState(TargetAnnouncement target) {
        Optional<TargetTimings> known =
                prediction.map(enabled -> new TargetTimings(timings.of(target), options, clock.nanos()));
        return new TargetState(clock, options, target.incarnation(), known);
    }
}
