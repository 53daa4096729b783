package org.basilrill.coordination.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilrill.coordination.limit.LimitMessage.Observation;
import org.basilrill.coordination.limit.LimitMessage.PermitDemand;
import org.basilrill.coordination.limit.LimitMessage.PermitGrant;
import org.basilrill.coordination.limit.RequestPermits.QueuedDemand;
import org.basilrill.state.target.RequestRate;

/**
 * The limit of one target at an instance, with its permits and its demand. A permit is used, expires or is returned
 * exactly once. Not thread safe; guarded by its user.
 */
final class PermitPool {
    private final TargetKey target;
    /** Times at which the permits expire, the earliest first. */
    private final Deque<Long> permits = new ArrayDeque<>();

    private final TargetLimit limit;
    private Optional<QueuedDemand> demand = Optional.empty();
    private long demandSinceNanos;
    private int reportedNeed;
    private boolean requestedInAdvance;
    private long lastRequestedNanos;
    private long nextPermitNanos;
    private long nanosPerPermit;
    private long lastGrant;
    private long returnedPermits;
    /** Sequence of the last report before the rate was lowered; grants that respond to it are of the higher rate. */
    private long lastReportOfHigherRate = -1;

    private boolean endScheduled;

    /** Creates the pool of a target without a limit yet. */
    PermitPool(TargetKey target, long nowNanos) {
        this.target = target;
        this.limit = new TargetLimit();
        this.nextPermitNanos = nowNanos;
    }

    /** Creates the pool of a target that states a rate. */
    PermitPool(TargetKey target, RequestRate rate, long statedNanos) {
        this(target, statedNanos);
        limit.state(rate, statedNanos);
    }

    TargetKey target() {
        return target;
    }

    TargetLimit limit() {
        return limit;
    }

    /** Returns the estimated time until the next permit; 0 if there is one or if the issuer has reported nothing. */
    long nanosUntilPermit(long nowNanos) {
        return hasPermit(nowNanos) ? 0 : Math.max(0, nextPermitNanos - nowNanos);
    }

    /** Returns the time between later permits; 0 if the issuer has reported nothing. */
    long nanosPerPermit() {
        return nanosPerPermit;
    }

    /** Returns whether there is a permit. */
    boolean hasPermit(long nowNanos) {
        expire(nowNanos);
        return !permits.isEmpty();
    }

    /** Takes one permit; returns false if there is none. */
    boolean take(long nowNanos) {
        expire(nowNanos);
        return permits.poll() != null;
    }

    /** Returns whether a task is scheduled for the end of the cold state. */
    boolean endScheduled() {
        return endScheduled;
    }

    void setEndScheduled(boolean scheduled) {
        endScheduled = scheduled;
    }

    /**
     * Returns all permits, because they were issued by a higher rate than applies now, and refuses those still under
     * way.
     *
     * @param lastReport sequence of the last report sent
     */
    void rateLowered(long lastReport) {
        lastReportOfHigherRate = lastReport;
        returnedPermits += permits.size();
        permits.clear();
    }

    /**
     * Adds a permit that was not used. That of a cold target goes back to the issuer, because it would be used later
     * than the bound allows.
     */
    void release(long nowNanos) {
        if (limit.isCold(nowNanos)) {
            returnedPermits++;
            return;
        }
        long expiryNanos = nowNanos + LimitTiming.REPORT_INTERVAL.toNanos();
        boolean beforeNext = permits.isEmpty() || expiryNanos - permits.peek() < 0;
        permits.addFirst(beforeNext ? expiryNanos : permits.peek());
    }

    /**
     * Records that a request could have used a permit. Returns whether this has to be reported. Queued requests are
     * reported as demand instead.
     */
    boolean requestInAdvance(long nowNanos) {
        if (waiting() > 0) {
            return false;
        }
        lastRequestedNanos = nowNanos;
        boolean reportDue = !requestedInAdvance;
        requestedInAdvance = true;
        return reportDue;
    }

    /** Replaces the queued requests; returns whether the number changed. */
    boolean updateDemand(Optional<QueuedDemand> newDemand, long nowNanos) {
        int before = waiting();
        if (demand.isEmpty()) {
            demandSinceNanos = nowNanos;
        }
        demand = newDemand;
        requestedInAdvance &= demand.isEmpty();
        return waiting() != before;
    }

    /** Resets what the previous issuer numbered. */
    void issuerChanged() {
        lastGrant = 0;
    }

    /** Adds the permits of a grant, unless a later one is known. Permits that have expired are returned. */
    void received(PermitGrant grant, long expiryNanos, long nowNanos) {
        nextPermitNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(grant.waitMillis());
        nanosPerPermit = TimeUnit.MILLISECONDS.toNanos(grant.intervalMillis());
        if (grant.permits() == 0 || grant.number() <= lastGrant) {
            return;
        }
        lastGrant = grant.number();
        if (grant.reportSequence() <= lastReportOfHigherRate) {
            returnedPermits += grant.permits();
            return;
        }
        for (int permit = 0; permit < grant.permits(); permit++) {
            permits.add(expiryNanos);
        }
        expire(nowNanos);
    }

    /** Returns whether anything is left to report, such as a demand that has ended. */
    boolean isActive() {
        return waiting() > 0 || reportedNeed > 0 || requestedInAdvance || !permits.isEmpty();
    }

    /** Returns the demand to report now. Permits that nothing needs are returned. */
    PermitDemand report(long nowNanos) {
        expire(nowNanos);
        if (nowNanos - lastRequestedNanos > LimitTiming.REPORT_INTERVAL.toNanos()) {
            requestedInAdvance = false;
        }
        if (waiting() == 0 && !requestedInAdvance) {
            returnedPermits += permits.size();
            permits.clear();
        }
        reportedNeed = Math.max(0, waiting() - permits.size());
        long waitedNanos = demand.isEmpty() ? 0 : nowNanos - demandSinceNanos;
        return new PermitDemand(
                reportedNeed,
                requestedInAdvance && permits.isEmpty(),
                demand.map(QueuedDemand::priority).orElse(0),
                TimeUnit.NANOSECONDS.toMillis(waitedNanos),
                observation(nowNanos),
                lastGrant,
                returnedPermits);
    }

    /** Returns the limit as known here. */
    Observation observation(long nowNanos) {
        return limit.observation(target, nowNanos);
    }

    /** Returns the queued requests that wait for a permit. */
    int waiting() {
        return demand.map(QueuedDemand::requests).orElse(0);
    }

    private void expire(long nowNanos) {
        while (!permits.isEmpty() && permits.peek() - nowNanos <= 0) {
            permits.poll();
            returnedPermits++;
        }
    }
}
