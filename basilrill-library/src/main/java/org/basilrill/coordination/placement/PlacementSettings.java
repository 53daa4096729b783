package org.basilrill.coordination.placement;

import java.time.Duration;

/**
 * Parameters of the placement. Immutable and thread safe.
 *
 * @param tokensPerSecondPerCopy demand that one copy serves at full load
 * @param growAbove share of the full load above which another copy is wanted
 * @param releaseBelow share of the full load below which a copy counts as idle; the gap to {@code growAbove} is the
 *     hysteresis
 * @param tick longest interval between decisions; the end of an order and waiting callers bring one about sooner
 * @param repeatAfter time after which an order without an answer is sent again
 * @param avoidAfterFailure time for which a model is not loaded again at a target that failed to load it
 */
public record PlacementSettings(
        double tokensPerSecondPerCopy,
        double growAbove,
        double releaseBelow,
        Duration tick,
        Duration repeatAfter,
        Duration avoidAfterFailure) {
    /**
     * 346 tokens/s is the share of one accelerator at the peak load of the design scale: 830,000 tokens/s over 2,400
     * accelerators.
     */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                346, 0.8, 0.5, Duration.ofMillis(500), Duration.ofMillis(500), Duration.ofSeconds(30));
    }

    /** Returns the copies that the rate calls for. */
    int wantedCopies(double rate) {
        return copies(rate, growAbove);
    }

    /** Returns the copies that the rate justifies keeping; at least as many as are wanted. */
    int keptCopies(double rate) {
        return Math.max(copies(rate, releaseBelow), wantedCopies(rate));
    }

    private int copies(double rate, double share) {
        return (int) Math.ceil(rate / (tokensPerSecondPerCopy * share));
    }
}
