package org.basilrill.coordination.path;

import java.time.Duration;

/**
 * What this instance knows of its own path to one target. Whether the target lives is not recorded here. Not thread
 * safe; guarded by the lock of {@link TargetPaths}.
 */
final class TargetPath {
    /** A failure soon after a contact may be a lost packet, so it is confirmed by a second one. */
    private static final Duration FRESH_CONTACT = Duration.ofSeconds(1);
    /** Longest time in which a connection is refused or reset; later failures are timeouts. */
    private static final Duration REFUSAL_LIMIT = Duration.ofMillis(250);

    private static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(500);
    /** Probes start at checks, so that an interval of whole checks would often miss one. */
    private static final Duration PROBE_INTERVAL_WHILE_LOST = Duration.ofMillis(900);

    private static final Duration PROBE_INTERVAL_ON_RETURN = Duration.ofMillis(400);
    /** Losses longer ago than this do not delay the return of the path. */
    private static final Duration LOSS_MEMORY = Duration.ofSeconds(30);

    private static final int SUCCESSES_AFTER_FIRST_LOSS = 2;
    /** Doubled with each recent loss, so that a path that comes and goes every few seconds is not used in between. */
    private static final int MAXIMUM_SUCCESSES = 8;

    private boolean lost;
    private boolean unresponsive;
    private boolean probing;
    private boolean confirming;
    private int failures;
    private long failureStartNanos;
    private int successes;
    private int successesToReturn = SUCCESSES_AFTER_FIRST_LOSS;
    private long lastContactNanos;
    private long lastLossNanos;
    private long nextConfirmationNanos;
    private long nextProbeNanos;

    TargetPath(long now) {
        lastContactNanos = now;
        lastLossNanos = now - LOSS_MEMORY.toNanos();
        nextConfirmationNanos = now;
    }

    boolean isLost() {
        return lost;
    }

    /** Returns whether connections over the lost path hang, so that exchanges on it get no further bytes. */
    boolean isUnresponsive() {
        return lost && unresponsive;
    }

    /** Returns whether the last failed connection hung instead of being refused. */
    boolean connectionsHang() {
        return unresponsive;
    }

    Duration timeSinceContact(long now) {
        return Duration.ofNanos(now - lastContactNanos);
    }

    /** Records bytes or an accepted connection. A lost path returns only by probes. */
    void contact(long now) {
        lastContactNanos = now;
        failures = 0;
    }

    /** Returns whether a probe may start now, and if so, records its start. */
    boolean beginProbe(long now) {
        if (probing || lost && now - nextProbeNanos < 0) {
            return false;
        }
        probing = true;
        return true;
    }

    /** Records the end of a probe that succeeded; returns whether the path has returned with it. */
    boolean probeSucceeded(long now) {
        probing = false;
        contact(now);
        if (!lost) {
            return false;
        }
        successes++;
        nextProbeNanos = now + PROBE_INTERVAL_ON_RETURN.toNanos();
        if (successes < successesToReturn) {
            return false;
        }
        lost = false;
        return true;
    }

    /** Records the end of a probe that failed. */
    void probeFailed(long now) {
        probing = false;
        successes = 0;
        nextProbeNanos = now + PROBE_INTERVAL_WHILE_LOST.toNanos();
    }

    /**
     * Records a connection that could not be opened.
     *
     * @param waited time until the failure
     */
    void connectionFailed(Duration waited, long now) {
        failures++;
        failureStartNanos = now - waited.toNanos();
        unresponsive = waited.compareTo(REFUSAL_LIMIT) > 0;
    }

    /** Returns whether a connection that began after the given time failed, and nothing succeeded since. */
    boolean failsSince(long nanos) {
        return failures > 0 && failureStartNanos - nanos >= 0;
    }

    /** Returns whether the failures so far may be those of a sound path. */
    boolean needsSecondFailure(long now) {
        return failures < 2 && timeSinceContact(now).compareTo(FRESH_CONTACT) < 0;
    }

    /** Returns whether another instance is to check the target now; if so, records the check. */
    boolean beginConfirmation(long now) {
        if (lost || confirming || now - nextConfirmationNanos < 0) {
            return false;
        }
        confirming = true;
        nextConfirmationNanos = now + CONFIRMATION_INTERVAL.toNanos();
        return true;
    }

    /**
     * Records whether another instance reaches the target; returns whether the path is lost because of it. A contact in
     * the meantime outweighs the result.
     */
    boolean confirmed(boolean reachedByOthers, long now) {
        confirming = false;
        if (lost || !reachedByOthers || failures == 0) {
            return false;
        }
        lose(now);
        return true;
    }

    /** Records that the path is presumed to be lost like others; it returns with the first contact by a probe. */
    void presumeLost(boolean connectionsHang, long now) {
        lose(now);
        unresponsive = connectionsHang;
        if (failures == 0) {
            successesToReturn = 1;
            nextProbeNanos = now;
        }
    }

    private void lose(long now) {
        boolean recentLoss = now - lastLossNanos < LOSS_MEMORY.toNanos();
        successesToReturn =
                recentLoss ? Math.min(MAXIMUM_SUCCESSES, successesToReturn * 2) : SUCCESSES_AFTER_FIRST_LOSS;
        lost = true;
        successes = 0;
        lastLossNanos = now;
        nextProbeNanos = now + PROBE_INTERVAL_WHILE_LOST.toNanos();
    }
}
