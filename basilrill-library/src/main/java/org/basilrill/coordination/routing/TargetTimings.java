package org.basilrill.coordination.routing;

import org.basilrill.coordination.routing.ServiceTimings.Costs;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Forecasts when a target responds. Knows the requests of this instance there, the load and pace that the target stated
 * last, and how fast it was so far compared with the other targets of its service; a new target counts as one of median
 * speed. Constant memory. Not thread safe; guarded by the lock of the target state.
 */
final class TargetTimings {
    private static final double NANOS_PER_MILLI = 1e6;
    /** A slow phase lasts 600 ms, so that a statement says little about the state half a second later. */
    private static final double SLOWDOWN_HALF_LIFE_NANOS = 200e6;
    /** Weight of one statement in the mean slowdown. Slow phases are rare, and statements in one phase are alike. */
    private static final double SLOWDOWN_SHARE = 0.05;
    /**
     * What was learned about a target approaches the figures of its service in this time. Otherwise a target that was
     * slow by chance would get no request, and its speed would never be measured again.
     */
    private static final double FORGETTING_HALF_LIFE_NANOS = 20e9;

    private static final long FORGETTING_INTERVAL_NANOS = 1_000_000_000;
    /** Weight of one response in the speed of the target. */
    private static final double SPEED_SHARE = 0.15;

    private static final long LONGEST_WITHOUT_STATEMENT_NANOS = 1_000_000_000;
    private static final double LARGEST_FACTOR = 8;
    private static final double FEWEST_STREAMS = 0.5;
    private static final double LOG_2 = Math.log(2);
    /** Weight of a response that is later than expected, compared with one that is earlier. */
    private static final double LATE_WEIGHT = 0.2;
    /** The queue of prompts at a target changes completely within about a second. */
    private static final double QUEUE_HALF_LIFE_NANOS = 400e6;

    private static final double LONGEST_QUEUE_MILLIS = 10_000;

    private final ServiceTimings service;
    private final RoutingOptions options;
    /** Time of work here as a multiple of that of a target of speed 1. */
    private double factor;

    private double statedSlowdown = 1;
    private double meanSlowdown;
    private long slowdownNanos;
    private boolean slowdownStated;
    private double statedOthers;
    private double statedWaiting;
    private long loadNanos;
    private boolean loadStated;
    private double excessMillis;
    private long excessNanos;
    private int slots = 1;
    private int running;
    private int pending;
    private double pendingTokens;
    private long heldTokens;
    private long progressNanos;
    private long forgottenNanos;

    TargetTimings(ServiceTimings service, RoutingOptions options, long now) {
        this.forgottenNanos = now;
        this.service = service;
        this.options = options;
        this.factor = Math.exp(service.costs().medianLogFactor());
        this.meanSlowdown = service.costs().meanSlowdown();
    }

    /** Records the slots that the target announced. */
    void slotsAnnounced(int announced) {
        slots = Math.max(1, announced);
    }

    /**
     * Records the load of an announcement. Some targets announce none, which cannot be told from an idle target: until
     * a target of the service announces a load, announcements of idle targets are ignored.
     */
    void loadAnnounced(TargetAnnouncement.Load load, long now) {
        if (service.announcesLoad(load)) {
            loadStated(load, now);
        }
    }

    /** Records the load that the target stated in a response. */
    void loadStated(TargetAnnouncement.Load load, long now) {
        statedOthers = Math.max(0, load.running() + load.waiting() - running);
        statedWaiting = Math.max(0, load.waiting() - pending);
        loadNanos = now;
        loadStated = true;
        service.othersStated(statedOthers);
        load.slowdown().ifPresent(slowdown -> slowdownStated(slowdown, now));
    }

    private void slowdownStated(double slowdown, long now) {
        statedSlowdown = slowdown;
        slowdownNanos = now;
        meanSlowdown += SLOWDOWN_SHARE * (slowdown - meanSlowdown);
        slowdownStated = true;
        service.slowdownStated(slowdown);
    }

    /** Records a request that is sent; returns what the later calls need. */
    Sent requestSent(PromptWork work, RequestProfile profile, long now) {
        Costs costs = service.costs();
        double uncachedTokens = costs.tokensToRead(work.certain(), work.uncertain(), work.preferred());
        double slowdown = slowdown(now);
        double others = others(costs, now);
        double speed = factor * slowdown;
        double ownBacklog = ownBacklogMillis(costs, speed, now);
        double othersQueue = othersQueueMillis(costs, speed, others, now) + slotMillis(costs, others, now);
        if (pending == 0) {
            progressNanos = now;
        }
        Sent sent = new Sent(
                work,
                uncachedTokens,
                profile,
                ownBacklog,
                othersQueue,
                suggestedQueueMillis(costs, speed, others),
                slowdown,
                running + others,
                now);
        running++;
        pending++;
        pendingTokens += uncachedTokens;
        heldTokens += profile.tokens();
        service.requestSent(uncachedTokens, profile.tokens(), now);
        return sent;
    }

    /** Learns from the first event of a response; later calls have no effect. */
    void firstEvent(Sent sent, long now) {
        if (sent.responded) {
            return;
        }
        noLongerPending(sent, now);
        Costs costs = service.costs();
        // The pace at both ends stands for that in between.
        double slowdown = (sent.slowdown + slowdown(now)) / 2;
        double expected = (costs.baseMillis() + sent.uncachedTokens * costs.millisPerToken()) * factor;
        double observed = Math.max(0, (now - sent.sentNanos) / NANOS_PER_MILLI - sent.ownBacklogMillis);
        double queue = Math.min(LONGEST_QUEUE_MILLIS, Math.max(0, observed - expected * slowdown));
        service.queueObserved(sent.requestsBefore / slots, queue / (factor * slowdown));
        excessMillis = Math.max(0, queue - sent.suggestedMillis);
        excessNanos = now;
        if (sent.work.uncertain() > 0) {
            learnCachedPart(sent, costs, Math.max(0, observed - sent.othersQueueMillis) / slowdown);
        } else {
            learnSpeed(observed / slowdown / expected);
        }
    }

    /** The time to the first event shows how much was cached, so it cannot show how fast the target reads as well. */
    private void learnCachedPart(Sent sent, Costs costs, double millis) {
        double read = (millis / factor - costs.baseMillis()) / costs.millisPerToken() - sent.work.certain();
        double part = 1 - Math.max(0, Math.min(1, read / sent.work.uncertain()));
        service.cachedPart(sent.work.preferred(), part);
    }

    /** A response that is later than expected may have waited for other work, one that is earlier has not. */
    private void learnSpeed(double ratio) {
        double logRatio = Math.log(Math.max(1 / LARGEST_FACTOR, Math.min(LARGEST_FACTOR, ratio)));
        double weighed = logRatio > 0 ? LATE_WEIGHT * logRatio : logRatio;
        service.firstEvent(weighed, Math.log(factor));
        factor *= Math.exp(SPEED_SHARE * weighed);
        factor = Math.max(1 / LARGEST_FACTOR, Math.min(LARGEST_FACTOR, factor));
    }

    /** Records the end of a request, and learns from its response if it is complete. */
    void ended(Sent sent, boolean complete, long now) {
        running--;
        heldTokens -= sent.profile.tokens();
        if (!complete) {
            if (!sent.responded) {
                noLongerPending(sent, now);
            }
            return;
        }
        firstEvent(sent, now);
        long output = sent.profile.maximumOutputTokens();
        double outputMillis = (now - sent.firstEventNanos) / NANOS_PER_MILLI;
        service.responseEnded(
                (now - sent.sentNanos) / NANOS_PER_MILLI,
                output == 0 ? 0 : outputMillis / output / (factor * meanSlowdown),
                sent.requestsBefore);
    }

    private void noLongerPending(Sent sent, long now) {
        sent.responded = true;
        sent.firstEventNanos = now;
        pending--;
        pendingTokens = pending == 0 ? 0 : Math.max(0, pendingTokens - sent.uncachedTokens);
        progressNanos = now;
    }

    /**
     * Returns the time until the first event of a request that is sent now, plus the time by which the pause of the
     * streams there exceeds a limit.
     */
    double costMillis(double uncachedTokens, double pauseLimitMillis, long now) {
        Costs costs = service.costs();
        forgetInPart(costs, now);
        double speed = factor * slowdown(now);
        double others = others(costs, now);
        double backlog = ownBacklogMillis(costs, speed, now) + othersQueueMillis(costs, speed, others, now);
        double read = uncachedTokens * costs.millisPerToken() * speed;
        double excess = hasStreams(others) ? Math.max(0, backlog + read - pauseLimitMillis) : 0;
        return firstEventMillis(costs, read, speed, backlog + slotMillis(costs, others, now)) + excess;
    }

    ResponseForecast forecast(double uncachedTokens, long outputTokens, long now) {
        Costs costs = service.costs();
        double speed = factor * slowdown(now);
        double others = others(costs, now);
        double backlog = ownBacklogMillis(costs, speed, now) + othersQueueMillis(costs, speed, others, now);
        double read = uncachedTokens * costs.millisPerToken() * speed;
        double first = firstEventMillis(costs, read, speed, backlog + slotMillis(costs, others, now));
        double perToken = costs.outputMillis() + costs.outputMillisPerRequest() * (running + others);
        // A response takes longer than a slow phase, so that the mean pace counts for its later part.
        double output = outputTokens * perToken * factor * meanSlowdown;
        return new ResponseForecast(first, first + output, hasStreams(others) ? backlog + read : 0, read);
    }

    /** Returns the expected number of requests at the target, those of other instances included. */
    double requests(long now) {
        return running + others(service.costs(), now);
    }

    int slots() {
        return slots;
    }

    /**
     * Returns whether the tokens of a request fit into the memory beside those of the requests there, with an estimate
     * for those of other instances. Without a recent statement that estimate is a mean, which may be wrong for long:
     * one request of this instance is then sent all the same, whose response states the load.
     */
    boolean hasRoomFor(long tokens, long memoryTokens, long now) {
        if (running == 0 && (!loadStated || now - loadNanos > LONGEST_WITHOUT_STATEMENT_NANOS)) {
            return tokens <= memoryTokens;
        }
        Costs costs = service.costs();
        return heldTokens + others(costs, now) * costs.meanTokens() + tokens <= memoryTokens;
    }

    /** Returns how much longer work takes at the target at present than usually. */
    double slowdown(long now) {
        if (!slowdownStated) {
            return 1;
        }
        return meanSlowdown + (statedSlowdown - meanSlowdown) * halved(now - slowdownNanos, SLOWDOWN_HALF_LIFE_NANOS);
    }

    private static double firstEventMillis(Costs costs, double readMillis, double speed, double queueMillis) {
        return costs.baseMillis() * speed + readMillis + queueMillis;
    }

    private void forgetInPart(Costs costs, long now) {
        long elapsed = now - forgottenNanos;
        if (elapsed < FORGETTING_INTERVAL_NANOS) {
            return;
        }
        forgottenNanos = now;
        double kept = halved(elapsed, FORGETTING_HALF_LIFE_NANOS);
        double medianLog = costs.medianLogFactor();
        factor = Math.exp(medianLog + (Math.log(factor) - medianLog) * kept);
        meanSlowdown = costs.meanSlowdown() + (meanSlowdown - costs.meanSlowdown()) * kept;
    }

    private boolean hasStreams(double others) {
        return running - pending + others >= FEWEST_STREAMS;
    }

    /** Returns the time in which the target reads the prompts that this instance sent. */
    private double ownBacklogMillis(Costs costs, double speed, long now) {
        if (pending == 0) {
            return 0;
        }
        double elapsed = (now - progressNanos) / NANOS_PER_MILLI;
        return Math.max(0, pendingTokens * costs.millisPerToken() * speed - elapsed);
    }

    /**
     * Returns the time for which the target does other work first: as much as its load suggests, and as much as the
     * last request from here waited beyond that, the less the longer ago; at least as long as a response is overdue.
     */
    private double othersQueueMillis(Costs costs, double speed, double others, long now) {
        double suggested = suggestedQueueMillis(costs, speed, others);
        double queue = suggested + excessMillis * halved(now - excessNanos, QUEUE_HALF_LIFE_NANOS);
        if (pending == 0) {
            return queue;
        }
        double work = (costs.baseMillis() + pendingTokens * costs.millisPerToken()) * speed;
        return Math.max(queue, (now - progressNanos) / NANOS_PER_MILLI - work);
    }

    private double suggestedQueueMillis(Costs costs, double speed, double others) {
        return costs.queueMillisAtFullLoad() * (others + running) / slots * speed;
    }

    /** Returns the time until one of the slots is free. */
    private double slotMillis(Costs costs, double others, long now) {
        double queued =
                statedWaiting * halved(now - loadNanos, options.reportHalfLife().toNanos());
        if (!costs.measured()) {
            return queued * options.millisPerQueuedRequest();
        }
        double waitingForSlot = Math.max(queued, running + others + 1 - slots);
        return Math.max(0, waitingForSlot) * costs.meanDurationMillis() / slots;
    }

    /** Returns the requests of other instances: those stated last, which approach the mean of the service with time. */
    private double others(Costs costs, long now) {
        if (!loadStated) {
            return costs.meanOthers();
        }
        double weight = halved(now - loadNanos, options.reportHalfLife().toNanos());
        return costs.meanOthers() + (statedOthers - costs.meanOthers()) * weight;
    }

    private static double halved(long ageNanos, double halfLifeNanos) {
        return ageNanos <= 0 ? 1 : Math.exp(-LOG_2 * ageNanos / halfLifeNanos);
    }

    /** A request at the target and what was forecast for it. Guarded by the lock of the target state. */
    static final class Sent {
        private final PromptWork work;
        private final double uncachedTokens;
        private final RequestProfile profile;
        private final double ownBacklogMillis;
        private final double othersQueueMillis;
        private final double suggestedMillis;
        private final double slowdown;
        private final double requestsBefore;
        private final long sentNanos;
        private boolean responded;
        private long firstEventNanos;

        private Sent(
                PromptWork work,
                double uncachedTokens,
                RequestProfile profile,
                double ownBacklogMillis,
                double othersQueueMillis,
                double suggestedMillis,
                double slowdown,
                double requestsBefore,
                long sentNanos) {
            this.work = work;
            this.uncachedTokens = uncachedTokens;
            this.profile = profile;
            this.ownBacklogMillis = ownBacklogMillis;
            this.othersQueueMillis = othersQueueMillis;
            this.suggestedMillis = suggestedMillis;
            this.slowdown = slowdown;
            this.requestsBefore = requestsBefore;
            this.sentNanos = sentNanos;
        }
    }
}
