package org.basilrill.coordination.routing;

import org.basilrill.state.target.TargetAnnouncement;

/**
 * How long the targets of one service take for their work, learned from the responses that this instance receives. All
 * times are those of a target of speed 1 at its usual pace. Thread safe: guarded by its own lock; the costs are read
 * without it.
 */
final class ServiceTimings {
    /** Weight of a new observation in a mean. */
    private static final double MEAN_SHARE = 0.02;
    /** Change of the estimated median by one observation; a tenfold difference takes about 100 of them. */
    private static final double MEDIAN_STEP = 0.023;
    /** Until then the guesses of the options are used for the delay by other instances. */
    private static final int RESPONSES_TO_MEASURE = 8;

    private static final double GUESSED_BASE_MILLIS = 10;
    private static final double GUESSED_MILLIS_PER_OUTPUT_TOKEN = 10;
    private static final double TYPICAL_LOAD = 0.5;
    private static final double TYPICAL_RUNNING = 10;

    private final LinearFit output =
            new LinearFit(GUESSED_MILLIS_PER_OUTPUT_TOKEN, GUESSED_MILLIS_PER_OUTPUT_TOKEN / 50, TYPICAL_RUNNING);
    private final LinearFit queueByLoad;
    private final ArrivalRate arrivals = new ArrivalRate();
    private final double guessedMillisPerToken;
    private double logReading;
    private double medianLogFactor;
    private double meanDurationMillis;
    private double meanUncachedTokens;
    private double meanTokens;
    private double meanOthers;
    private double meanSlowdown = 1;
    private double preferredCached;
    private double otherwiseCached;
    private int responses;
    private int sent;
    private int statements;
    private int slowdowns;
    private boolean loadAnnounced;
    private volatile Costs costs;

    ServiceTimings(RoutingOptions options) {
        queueByLoad = new LinearFit(0, options.fullTargetDelayMillis(), TYPICAL_LOAD);
        guessedMillisPerToken = 1 / options.prefillTokensPerMilli();
        preferredCached = options.preferredCachedFraction();
        publish();
    }

    Costs costs() {
        return costs;
    }

    /** Returns whether the load of an announcement is one that the target states, and not just a missing one. */
    synchronized boolean announcesLoad(TargetAnnouncement.Load load) {
        loadAnnounced |= load.running() + load.waiting() > 0;
        return loadAnnounced;
    }

    /** Counts a request that was sent. */
    synchronized void requestSent(double uncachedTokens, long tokens, long now) {
        sent++;
        arrivals.add(now);
        meanUncachedTokens = mean(meanUncachedTokens, uncachedTokens, sent);
        meanTokens = mean(meanTokens, tokens, sent);
        publish();
    }

    /** Records which part of the tokens that another instance might have sent to a target were cached there. */
    synchronized void cachedPart(boolean preferred, double part) {
        if (preferred) {
            preferredCached += MEAN_SHARE * (part - preferredCached);
        } else {
            otherwiseCached += MEAN_SHARE * (part - otherwiseCached);
        }
        publish();
    }

    /**
     * Records how the time to a first event, at the usual pace, compares with the expected one.
     *
     * @param logRatio logarithm of the ratio of the two, weighed by what the observation tells
     * @param targetLogFactor logarithm of the relative time of the target
     */
    synchronized void firstEvent(double logRatio, double targetLogFactor) {
        logReading += MEAN_SHARE * logRatio;
        medianLogFactor += MEDIAN_STEP * Math.signum(targetLogFactor - medianLogFactor);
        publish();
    }

    /**
     * Records for how long a target did other work before it read a prompt.
     *
     * @param load requests there as a part of its slots
     */
    synchronized void queueObserved(double load, double millis) {
        queueByLoad.add(load, millis);
        publish();
    }

    /** Records the duration of a whole response, and its time for each token of the output that it might have. */
    synchronized void responseEnded(double durationMillis, double millisPerOutputToken, double running) {
        responses++;
        meanDurationMillis = mean(meanDurationMillis, durationMillis, responses);
        if (millisPerOutputToken > 0) {
            output.add(running, millisPerOutputToken);
        }
        publish();
    }

    /** Records the requests of other instances at a target, as it stated them. */
    synchronized void othersStated(double others) {
        statements++;
        meanOthers = mean(meanOthers, others, statements);
        publish();
    }

    /** Records a slowdown that a target stated. */
    synchronized void slowdownStated(double slowdown) {
        slowdowns++;
        meanSlowdown = mean(meanSlowdown, slowdown, slowdowns);
        publish();
    }

    /** Returns the requests that this instance sends in a second. */
    synchronized double sentPerSecond(long now) {
        return arrivals.perSecond(now);
    }

    private static double mean(double current, double value, int observations) {
        return current + Math.max(MEAN_SHARE, 1.0 / observations) * (value - current);
    }

    private void publish() {
        costs = new Costs(
                GUESSED_BASE_MILLIS * Math.exp(logReading),
                guessedMillisPerToken * Math.exp(logReading),
                output.intercept(),
                output.slope(),
                responses >= RESPONSES_TO_MEASURE,
                Math.max(1, meanDurationMillis),
                meanUncachedTokens,
                meanTokens,
                queueByLoad.slope(),
                meanOthers,
                meanSlowdown,
                medianLogFactor,
                preferredCached,
                otherwiseCached);
    }

    /**
     * Costs of the work of a service. Immutable and thread safe.
     *
     * @param baseMillis time to the first event of an empty prompt at an idle target
     * @param millisPerToken time in which a token of a prompt is read
     * @param outputMillis time for each token of the output at a target without other requests
     * @param outputMillisPerRequest what each other request there adds to it
     * @param measured whether the means below rest on enough responses
     * @param meanDurationMillis mean time from the sending of a request to the end of its response
     * @param meanUncachedTokens mean number of prompt tokens of a request that a target has to read
     * @param meanTokens mean number of tokens that a request may occupy in memory
     * @param queueMillisAtFullLoad time for which a target does other work before it reads a prompt if its slots are
     * full
     * @param meanOthers mean number of requests that other instances have at one target
     * @param medianLogFactor logarithm of the median relative time of the targets
     * @param preferredCached part of the tokens sent by other instances that is cached at the preferred target
     * @param otherwiseCached the same for other targets
     */
    record Costs(
            double baseMillis,
            double millisPerToken,
            double outputMillis,
            double outputMillisPerRequest,
            boolean measured,
            double meanDurationMillis,
            double meanUncachedTokens,
            double meanTokens,
            double queueMillisAtFullLoad,
            double meanOthers,
            double meanSlowdown,
            double medianLogFactor,
            double preferredCached,
            double otherwiseCached) {
        /** Returns the expected number of tokens that a target reads. */
        double tokensToRead(double certain, double uncertain, boolean preferred) {
            return certain + uncertain * (1 - (preferred ? preferredCached : otherwiseCached));
        }

        /** Returns the time in which the prompt of a usual request is read. */
        double meanReadMillis() {
            return meanUncachedTokens * millisPerToken;
        }
    }
}
