package org.basilrill.coordination.routing;

import java.time.Duration;

/**
 * Constants of routing. Immutable and thread safe.
 *
 * @param subsetSize number of targets per destination that this instance uses
 * @param remoteShare minimum share of the subset that comes from other data centres where they have targets, so that
 *     load of a saturated data centre can spill over; 0 to 1
 * @param distancePenalty penalty for a target in another data centre, as a fraction of the load of a full target
 * @param reportHalfLife age at which a reported load counts half in the score
 * @param failuresToEject consecutive failures after which a target is ejected
 * @param firstEjection duration of the first ejection
 * @param longestEjection upper limit of the ejection time, which doubles with each ejection
 * @param fullBackOff time without new requests after a target refused a request because it is full
 * @param freeSlotsFactor multiple of its equal share of the free slots that an instance may use between two reports;
 *     above 1, because rarely all instances are busy at the same time
 * @param prefillTokensPerMilli prompt tokens that an engine processes per millisecond
 * @param millisPerQueuedRequest delay of the first token per request queued at the target
 * @param fullTargetDelayMillis delay of the first token at a target whose slots are all in use
 * @param maxJitterMillis upper limit of a random delay added to each estimate, so that instances with the same view do
 *     not all choose the same target
 * @param preferredCachedFraction estimated fraction of a shared prefix that is cached at its preferred target; 0 to 1
 * @param prediction for which services targets are chosen by the response times learned from them; the three constants
 *     above that state times of engines are then only the guess before the first responses
 */
public record RoutingOptions(
        int subsetSize,
        double remoteShare,
        double distancePenalty,
        Duration reportHalfLife,
        int failuresToEject,
        Duration firstEjection,
        Duration longestEjection,
        Duration fullBackOff,
        double freeSlotsFactor,
        double prefillTokensPerMilli,
        double millisPerQueuedRequest,
        double fullTargetDelayMillis,
        double maxJitterMillis,
        double preferredCachedFraction,
        Prediction prediction) {
    /** Returns the default values. */
    public static RoutingOptions defaults() {
        return new RoutingOptions(
                16,
                0.25,
                0.1,
                Duration.ofSeconds(1),
                3,
                Duration.ofSeconds(1),
                Duration.ofSeconds(30),
                Duration.ofMillis(20),
                2,
                40,
                40,
                300,
                4,
                0.7,
                Prediction.OFF);
    }

    /** The services whose targets are chosen by learned response times. */
    public enum Prediction {
        OFF,
        /** Services of which a target has stated how much longer work takes on its machine at present. */
        WHERE_PACE_IS_STATED,
        ALWAYS
    }

    /** Returns the same options with or without choice by learned response times, for all services. */
    public RoutingOptions withPrediction(boolean enabled) {
        return withPrediction(enabled ? Prediction.ALWAYS : Prediction.OFF);
    }

    /** Returns the same options with choice by learned response times for some services. */
    public RoutingOptions withPrediction(Prediction services) {
        return new RoutingOptions(
                subsetSize,
                remoteShare,
                distancePenalty,
                reportHalfLife,
                failuresToEject,
                firstEjection,
                longestEjection,
                fullBackOff,
                freeSlotsFactor,
                prefillTokensPerMilli,
                millisPerQueuedRequest,
                fullTargetDelayMillis,
                maxJitterMillis,
                preferredCachedFraction,
                services);
    }
}
