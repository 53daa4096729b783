package org.basilrill.coordination.routing;

/**
 * A line fitted to observations, of which later ones count more. Starts from a guess that weighs as much as a few
 * observations and gives the slope as long as the observations lie close together; the slope stays within a factor of
 * the guess, so that noise never gives a negative one. Not thread safe; guarded by the lock of its owner.
 */
final class LinearFit {
    /** Weight of all earlier observations when another is added: the last 200 or so decide. */
    private static final double RETAINED = 0.995;

    private static final double GUESS_WEIGHT = 4;
    private static final double LARGEST_SLOPE_FACTOR = 16;
    /** Observations that spread less than this part of the typical distance say nothing about the slope. */
    private static final double LEAST_SPREAD = 0.15;

    private final double guessedSlope;
    private final double leastVariance;
    private double weight;
    private double meanX;
    private double meanY;
    private double varianceX;
    private double covariance;

    /**
     * Creates a fit without observations.
     *
     * @param typicalX distance over which an observation tells as much about the slope as the guess does
     */
    LinearFit(double guessedIntercept, double guessedSlope, double typicalX) {
        this.guessedSlope = guessedSlope;
        this.leastVariance = LEAST_SPREAD * LEAST_SPREAD * typicalX * typicalX;
        this.weight = GUESS_WEIGHT;
        this.meanX = typicalX;
        this.meanY = guessedIntercept + guessedSlope * typicalX;
        this.varianceX = typicalX * typicalX;
        this.covariance = guessedSlope * varianceX;
    }

    void add(double x, double y) {
        weight = weight * RETAINED + 1;
        double share = 1 / weight;
        double deltaX = x - meanX;
        double deltaY = y - meanY;
        meanX += share * deltaX;
        meanY += share * deltaY;
        varianceX = (1 - share) * (varianceX + share * deltaX * deltaX);
        covariance = (1 - share) * (covariance + share * deltaX * deltaY);
    }

    double slope() {
        double slope = (covariance + guessedSlope * leastVariance) / (varianceX + leastVariance);
        double positive = meanX > 0 ? Math.min(slope, meanY / meanX) : slope;
        return Math.max(guessedSlope / LARGEST_SLOPE_FACTOR, Math.min(guessedSlope * LARGEST_SLOPE_FACTOR, positive));
    }

    /** Returns the value at zero, which is never negative. */
    double intercept() {
        return Math.max(0, meanY - slope() * meanX);
    }
}
