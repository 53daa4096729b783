package org.basilrill.state.target;

import java.util.Optional;

/**
 * The requests per second that a target accepts from all instances together. Immutable and thread safe.
 *
 * @param perSecond finite and not negative
 */
public record RequestRate(double perSecond) {
    /** Part of the higher rate by which two rates differ notably. */
    private static final double NOTABLE_DIFFERENCE = 0.2;

    public RequestRate {
        if (!Double.isFinite(perSecond) || perSecond < 0) {
            throw new IllegalArgumentException("request rate " + perSecond + " is not a finite, non-negative number");
        }
    }

    /** Parses a decimal number of requests per second; empty if it is not a finite, non-negative number. */
    public static Optional<RequestRate> parse(String text) {
        try {
            double perSecond = Double.parseDouble(text.trim());
            return Double.isFinite(perSecond) && perSecond >= 0
                    ? Optional.of(new RequestRate(perSecond))
                    : Optional.empty();
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    /** Returns whether the rates differ by so much that instances and operators should be notified. */
    public boolean differsNotablyFrom(RequestRate other) {
        double higher = Math.max(perSecond, other.perSecond);
        return Math.abs(perSecond - other.perSecond) > NOTABLE_DIFFERENCE * higher;
    }
}
