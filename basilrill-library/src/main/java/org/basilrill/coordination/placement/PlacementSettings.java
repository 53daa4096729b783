package org.basilrill.coordination.placement;

import java.time.Duration;

/**
 * Parameters of the placement. Immutable and thread safe.
 *
 * @param tokensPerSecondPerCopy demand in tokens per second that one copy serves at full load
 * @param scaleUpThreshold fraction of the full load above which another copy is loaded
 * @param scaleDownThreshold fraction of the full load below which a copy counts as idle; the difference to
 *     {@code scaleUpThreshold} is the hysteresis
 * @param planningInterval maximum interval between planning runs; the end of an order or waiting requests trigger an
 *     earlier one
 * @param resendInterval time after which an order without a response is resent
 * @param avoidAfterFailure time for which a model is not loaded again at a target that failed to load it
 */
public record PlacementSettings(
        double tokensPerSecondPerCopy,
        double scaleUpThreshold,
        double scaleDownThreshold,
        Duration planningInterval,
        Duration resendInterval,
        Duration avoidAfterFailure) {
    /**
     * Returns the default settings. 346 tokens/s is the rate of one accelerator at the peak load of the design scale:
     * 830,000 tokens/s on 2,400 accelerators.
     */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                346, 0.8, 0.5, Duration.ofMillis(500), Duration.ofMillis(500), Duration.ofSeconds(30));
    }

    /** Returns the number of copies that the rate requires. */
    int desiredCopies(double rate) {
        return copies(rate, scaleUpThreshold);
    }

    /** Returns the number of copies that are not idle at the rate; at least {@link #desiredCopies}. */
    int retainedCopies(double rate) {
        return Math.max(copies(rate, scaleDownThreshold), desiredCopies(rate));
    }

    private int copies(double rate, double threshold) {
        return (int) Math.ceil(rate / (tokensPerSecondPerCopy * threshold));
    }
}
