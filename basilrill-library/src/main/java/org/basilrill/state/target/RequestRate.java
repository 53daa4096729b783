package org.basilrill.state.target;

import java.util.Optional;

/**
 * The requests per second that a target accepts from all instances together. Immutable and thread safe.
 *
 * @param perSecond finite and not negative
 */
public record RequestRate(double perSecond) {
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
}
