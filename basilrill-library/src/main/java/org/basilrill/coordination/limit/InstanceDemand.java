package org.basilrill.coordination.limit;

import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import org.basilrill.coordination.limit.LimitMessage.PermitDemand;

/**
 * The demand of one instance for permits of one target, as known to the issuer. Not thread safe; guarded by the issuer.
 */
final class InstanceDemand {
    /** Waiting time that weighs as much as one priority class, so that no class starves. */
    private static final double NANOS_PER_PRIORITY_CLASS = TimeUnit.SECONDS.toNanos(1);

    private final long incarnation;
    private int waiting;
    private boolean wantsSpare;
    private int priority;
    private long waitingSinceNanos;
    private long updatedNanos;
    private long returnedPermits;
    private long reportSequence;
    private long issuedNumber;
    private long issuedNanos;

    InstanceDemand(long incarnation, long returnedPermits, long nowNanos) {
        this.incarnation = incarnation;
        this.returnedPermits = returnedPermits;
        this.issuedNanos = nowNanos - LimitTiming.LIMIT_RETENTION;
    }

    /** Orders demands by urgency: by priority class, less the time waited since the last permit. */
    static Comparator<InstanceDemand> byUrgency(long nowNanos) {
        return Comparator.comparingDouble(demand -> demand.rank(nowNanos));
    }

    /** Orders demands for a spare permit: the one served longest ago first. */
    static Comparator<InstanceDemand> byLastIssue(long nowNanos) {
        return Comparator.comparingLong(demand -> demand.issuedNanos - nowNanos);
    }

    long incarnation() {
        return incarnation;
    }

    long reportSequence() {
        return reportSequence;
    }

    /** Returns the queued requests that need a permit; 0 if the demand has expired. */
    int waiting(long nowNanos) {
        return isExpired(nowNanos) ? 0 : waiting;
    }

    boolean wantsSpare(long nowNanos) {
        return wantsSpare && !isExpired(nowNanos);
    }

    /**
     * Applies a newer report. A demand that does not count a grant which may still be under way is not increased.
     *
     * @return the permits returned since the previous report
     */
    long update(PermitDemand demand, long sequence, long nowNanos) {
        reportSequence = sequence;
        updatedNanos = nowNanos;
        boolean grantUnderWay =
                demand.lastGrant() < issuedNumber && nowNanos - issuedNanos < LimitTiming.GRANT_DELIVERY;
        if (!grantUnderWay) {
            waiting = demand.waiting();
            wantsSpare = demand.wantsSpare();
            priority = demand.priority();
            waitingSinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(demand.waitedMillis());
        }
        long returned = Math.max(0, demand.returnedPermits() - returnedPermits);
        returnedPermits = Math.max(returnedPermits, demand.returnedPermits());
        return returned;
    }

    /** Records that one permit was issued. */
    void issued(long number, long nowNanos) {
        issuedNumber = number;
        issuedNanos = nowNanos;
        wantsSpare = false;
        waiting = Math.max(0, waiting - 1);
    }

    private boolean isExpired(long nowNanos) {
        return nowNanos - updatedNanos > LimitTiming.DEMAND_VALIDITY;
    }

    private double rank(long nowNanos) {
        long waitedNanos = Math.min(nowNanos - waitingSinceNanos, nowNanos - issuedNanos);
        return priority - waitedNanos / NANOS_PER_PRIORITY_CLASS;
    }
}
