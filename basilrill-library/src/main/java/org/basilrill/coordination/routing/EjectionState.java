package org.basilrill.coordination.routing;

import java.time.Duration;

/**
 * Decides whether a target is ejected because of failures, and when it is probed. Not thread safe; guarded by the lock
 * of its owner.
 *
 * <p>States: in use; ejected until a time; then half-open, with one probe at a time. A successful probe restores the
 * target; a failed probe ejects it for twice as long as before.
 */
final class EjectionState {
    private final RoutingOptions options;

    private int consecutiveFailures;
    private boolean ejected;
    private boolean probing;
    private long ejectedUntilNanos;
    private Duration ejectionDuration = Duration.ZERO;

    EjectionState(RoutingOptions options) {
        this.options = options;
    }

    boolean mayStart(long now) {
        return !ejected || (!probing && now - ejectedUntilNanos >= 0);
    }

    /** Returns whether the target is neither ejected nor has recent failures. */
    boolean isHealthy() {
        return !ejected && consecutiveFailures == 0;
    }

    /** Records the start of a request that {@link #mayStart} allowed. Returns whether the request is a probe. */
    boolean started() {
        probing = ejected;
        return probing;
    }

    /** Records a success. Returns whether it restored the target. */
    boolean succeeded(boolean probe) {
        if (!ejected) {
            consecutiveFailures = 0;
            return false;
        }
        if (!probe) {
            return false;
        }
        ejected = false;
        probing = false;
        consecutiveFailures = 0;
        ejectionDuration = Duration.ZERO;
        return true;
    }

    /**
     * Records a failure. Returns whether it ejected the target. Results of requests sent before the ejection are
     * ignored.
     */
    boolean failed(boolean probe, boolean ejectAtOnce, long now) {
        if (ejected && !probe) {
            return false;
        }
        consecutiveFailures++;
        if (!probe && !ejectAtOnce && consecutiveFailures < options.failuresToEject()) {
            return false;
        }
        ejectionDuration = nextEjectionDuration();
        ejected = true;
        probing = false;
        ejectedUntilNanos = now + ejectionDuration.toNanos();
        return true;
    }

    /** Records the end of a request whose result does not depend on the health of the target. */
    void endedInconclusively(boolean probe) {
        if (probe) {
            probing = false;
        }
    }

    Duration ejectionDuration() {
        return ejectionDuration;
    }

    private Duration nextEjectionDuration() {
        if (ejectionDuration.isZero()) {
            return options.firstEjection();
        }
        Duration doubled = ejectionDuration.multipliedBy(2);
        return doubled.compareTo(options.longestEjection()) > 0 ? options.longestEjection() : doubled;
    }
}
