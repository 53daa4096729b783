package org.basilrill.coordination.routing;

import java.time.Duration;

/**
 * Constants of routing. Immutable and thread safe.
 *
 * @param subsetSize targets per destination this instance uses
 * @param remoteShare least share of the subset given to other data centres where they have targets, so that a
 *     saturated data centre can spill over; 0 to 1
 * @param distancePenalty score of another data centre, in units of a full target
 * @param reportHalfLife age at which a reported load counts half in the score
 * @param failuresToEject failures in a row after which a target is ejected
 * @param firstEjection length of the first ejection
 * @param longestEjection limit of the doubling
 * @param fullBackOff time without new requests after a target answered that it is full
 * @param freeSlotsFactor how much more than its equal part of the free slots an instance may take between two reports;
 *     instances are rarely all busy at once
 * @param tokensPerMilli prompt tokens that an engine reads in a millisecond
 * @param millisPerWaiting delay of the first token by one request that waits at the target
 * @param millisOfFullTarget delay of the first token at a target whose slots are all taken
 * @param millisOfChance random part, so that instances with the same view do not all choose the same target
 * @param preferredTrust part of a shared prefix that the target preferred for it has probably cached; 0 to 1
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
        double tokensPerMilli,
        double millisPerWaiting,
        double millisOfFullTarget,
        double millisOfChance,
        double preferredTrust) {
    /** Returns the values of the design page. */
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
                0.7);
    }
}
