package org.basilrill.coordination.routing;

import java.time.Duration;

/**
 * Decides whether a target is ejected for its failures and when it is probed. Not thread safe; guarded by the owner.
 *
 * <p>States: in use; ejected until a time; then open for one probe at a time. A successful probe brings the target
 * back, a failed one ejects it for twice as long as before.
 */
final class EjectionState {
    private final RoutingOptions options;

    private int failuresInARow;
    private boolean ejected;
    private boolean probing;
    private long ejectedUntilNanos;
    private Duration length = Duration.ZERO;

    EjectionState(RoutingOptions options) {
        this.options = options;
    }

    boolean mayStart(long now) {
        return !ejected || (!probing && now - ejectedUntilNanos >= 0);
    }

    /** Returns whether nothing is held against the target. */
    boolean isSpotless() {
        return !ejected && failuresInARow == 0;
    }

    /** Notes the start of a request that {@link #mayStart} allowed; returns whether it is the probe. */
    boolean started() {
        probing = ejected;
        return probing;
    }

    /** Returns whether the target came back into use. */
    boolean succeeded(boolean probe) {
        if (!ejected) {
            failuresInARow = 0;
            return false;
        }
        if (!probe) {
            return false;
        }
        ejected = false;
        probing = false;
        failuresInARow = 0;
        length = Duration.ZERO;
        return true;
    }

    /** Returns whether the failure ejected the target; results of requests older than the ejection do not count. */
    boolean failed(boolean probe, boolean ejectAtOnce, long now) {
        if (ejected && !probe) {
            return false;
        }
        failuresInARow++;
        if (!probe && !ejectAtOnce && failuresInARow < options.failuresToEject()) {
            return false;
        }
        length = nextLength();
        ejected = true;
        probing = false;
        ejectedUntilNanos = now + length.toNanos();
        return true;
    }

    /** Notes that a request ended without telling anything about the health of the target. */
    void endedWithoutVerdict(boolean probe) {
        if (probe) {
            probing = false;
        }
    }

    Duration length() {
        return length;
    }

    private Duration nextLength() {
        if (length.isZero()) {
            return options.firstEjection();
        }
        Duration doubled = length.multipliedBy(2);
        return doubled.compareTo(options.longestEjection()) > 0 ? options.longestEjection() : doubled;
    }
}
