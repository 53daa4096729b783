package org.basilrill.coordination.limit;

import java.util.Optional;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.RequestRate;

/**
 * Bound of the requests that all instances together send to a cold target: in any second at most the rate it accepts
 * times the overage, plus the slack. Immutable and thread safe.
 *
 * @param defaultStart what cold targets of a service accept if the rules name nothing; empty if they are not limited
 */
public record ColdLimits(double overage, double slack, Optional<Rules.ColdStart> defaultStart) {
    /**
     * In one second a bucket admits a burst of one request and a tenth of a second of the rate, what it refills in that
     * second, and the permits of the second before, which are valid for a second.
     */
    private static final double SECONDS_OF_RATE = 2.1;

    /** Creates the bound for services whose rules name a cold rate. */
    public ColdLimits(double overage, double slack) {
        this(overage, slack, Optional.empty());
    }

    /** Returns the rate at which permits keep the bound; at most the rate that the target accepts. */
    public RequestRate permitRate(double acceptedPerSecond) {
        double bounded = (acceptedPerSecond * overage + slack - 1) / SECONDS_OF_RATE;
        return new RequestRate(Math.max(0, Math.min(acceptedPerSecond, bounded)));
    }
}
