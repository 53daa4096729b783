package org.basilrill.coordination.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.MonotonicClock;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Chooses the target whose response is forecast to begin first and that does not keep the streams there waiting for too
 * long. Thread safe: the random generator is guarded by itself, the forecasts by the locks of the target states.
 */
final class PredictiveChoice {
    private static final double NANOS_PER_MILLI = 1e6;
    /**
     * Costs that differ by less count as equal. A forecast is no more exact than one step of a batch, which takes 5 ms
     * or more.
     */
    private static final double TOLERANCE_MILLIS = 4;
    /**
     * Time for which requests that other instances send at the same moment are not seen here. With 100 ms the requests
     * were spread over slower targets although the loads in sight were correct.
     */
    private static final double UNSEEN_SECONDS = 0.02;

    private final String dataCentre;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final IntSupplier instanceCount;
    private final RoutingOptions options;
    private final TimingTable timings;
    private final Function<TargetAnnouncement, TargetState> states;
    private final CachedTokens cachedTokens;
    private volatile EngineMemory memory = EngineMemory.UNLIMITED;

    PredictiveChoice(
            String dataCentre,
            MonotonicClock clock,
            RandomGenerator random,
            IntSupplier instanceCount,
            RoutingOptions options,
            TimingTable timings,
            Function<TargetAnnouncement, TargetState> states,
            CachedTokens cachedTokens) {
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.random = random;
        this.instanceCount = instanceCount;
        this.options = options;
        this.timings = timings;
        this.states = states;
        this.cachedTokens = cachedTokens;
    }

    void setMemory(EngineMemory known) {
        memory = known;
    }

    /**
     * Returns the target for a request; empty if its tokens fit into the memory of none.
     *
     * @param free targets with a free slot; at least one
     * @param known number of targets that serve the destination, those without a free slot included
     */
    Optional<TargetAnnouncement> choose(
            List<TargetAnnouncement> free, int known, Prompt prompt, RequestProfile profile) {
        if (prompt.isEmpty() && profile.promptTokens() == 0) {
            return Optional.of(fasterOfTwo(free));
        }
        long now = clock.nanos();
        double[] costs = costs(free, prompt, profile, now);
        int usable = 0;
        for (double cost : costs) {
            usable += cost < Double.POSITIVE_INFINITY ? 1 : 0;
        }
        if (usable == 0) {
            return Optional.empty();
        }
        ServiceTimings service = timings.of(free.get(0));
        if (prompt.sharedParts() > 0) {
            // Instances with different prompts prefer different targets, and each target that gets a prompt reads it
            // anew.
            return chosen(free, costs, 0);
        }
        double others = (instanceCount.getAsInt() - 1) * service.sentPerSecond(now) * UNSEEN_SECONDS;
        double unreportedMillis =
                others * usable / Math.max(usable, known) * service.costs().meanReadMillis();
        return chosen(free, costs, unreportedMillis);
    }

    private Optional<TargetAnnouncement> chosen(
            List<TargetAnnouncement> free, double[] costs, double unreportedMillis) {
        synchronized (random) {
            return Optional.of(free.get(SpreadChoice.choose(costs, TOLERANCE_MILLIS, unreportedMillis, random)));
        }
    }

    /** Returns the forecast for the target whose response would begin first; empty if no target has a free slot. */
    Optional<ResponseForecast> forecast(List<TargetAnnouncement> free, Prompt prompt, RequestProfile profile) {
        long now = clock.nanos();
        double[] costs = costs(free, prompt, profile, now);
        int best = -1;
        for (int index = 0; index < costs.length; index++) {
            if (costs[index] < Double.POSITIVE_INFINITY && (best < 0 || costs[index] < costs[best])) {
                best = index;
            }
        }
        if (best < 0) {
            return Optional.empty();
        }
        TargetAnnouncement target = free.get(best);
        PromptWork work = work(target, prompt, profile, best == cachedTokens.preferred(prompt, free));
        double uncached = timings.of(target).costs().tokensToRead(work.certain(), work.uncertain(), work.preferred());
        return Optional.of(states.apply(target).forecast(uncached, profile.maximumOutputTokens(), now));
    }

    /** Returns the costs of the candidates in milliseconds; infinite for those without room in their memory. */
    private double[] costs(List<TargetAnnouncement> free, Prompt prompt, RequestProfile profile, long now) {
        double[] costs = new double[free.size()];
        if (free.isEmpty()) {
            return costs;
        }
        int preferred = cachedTokens.preferred(prompt, free);
        ServiceTimings.Costs service = timings.of(free.get(0)).costs();
        double total = Math.max(prompt.tokens(), profile.promptTokens());
        double shared = prompt.tokensOfFirstParts(prompt.sharedParts());
        double limit = millis(profile.latencyTarget());
        for (int index = 0; index < costs.length; index++) {
            TargetAnnouncement target = free.get(index);
            double uncertain = Math.max(0, shared - cachedTokens.tracked(target, prompt));
            double uncached = service.tokensToRead(total - shared, uncertain, index == preferred);
            double cost =
                    states.apply(target).costMillis(uncached, profile.tokens(), memory.tokensOf(target), limit, now);
            costs[index] = cost + distance(target) * options.fullTargetDelayMillis();
        }
        return costs;
    }

    /** Returns the tokens of the prompt that the target has to read. */
    PromptWork work(TargetAnnouncement target, Prompt prompt, RequestProfile profile, boolean preferred) {
        double total = Math.max(prompt.tokens(), profile.promptTokens());
        double shared = prompt.tokensOfFirstParts(prompt.sharedParts());
        return new PromptWork(total - shared, Math.max(0, shared - cachedTokens.tracked(target, prompt)), preferred);
    }

    /** Chooses between two random targets by load and slowdown, for requests whose prompt is not known. */
    private TargetAnnouncement fasterOfTwo(List<TargetAnnouncement> free) {
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
        long now = clock.nanos();
        return slowedLoad(one, now) <= slowedLoad(other, now) ? one : other;
    }

    private double slowedLoad(TargetAnnouncement target, long now) {
        return states.apply(target).slowedLoad(now) + distance(target);
    }

    private double distance(TargetAnnouncement target) {
        return target.dataCentre().equals(dataCentre) ? 0 : options.distancePenalty();
    }

    private static double millis(Optional<Duration> duration) {
        return duration.isPresent() ? duration.get().toNanos() / NANOS_PER_MILLI : Double.POSITIVE_INFINITY;
    }
}
