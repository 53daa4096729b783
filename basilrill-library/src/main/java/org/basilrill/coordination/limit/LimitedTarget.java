package org.basilrill.coordination.limit;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.limit.LimitMessage.PermitDemand;

/**
 * The limit of one target at the issuer, with the demands of all instances. Not thread safe; guarded by the issuer.
 */
final class LimitedTarget {
    /** Wait of the last queued request above which other targets should serve a part of the requests. */
    private static final long OVER_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PermitBucket bucket;
    private final Map<InstanceId, InstanceDemand> demands = new TreeMap<>();
    private final TargetLimit limit;
    private boolean issueScheduled;

    LimitedTarget(TargetLimit limit, long nowNanos) {
        this.limit = limit;
        bucket = new PermitBucket(limit.rate(nowNanos), nowNanos);
    }

    TargetLimit limit() {
        return limit;
    }

    /** Applies the rate that is in force now. */
    void refreshRate(long nowNanos) {
        bucket.configure(limit.rate(nowNanos), nowNanos);
    }

    /** Returns whether the next permit will be issued by a scheduled task. */
    boolean issueScheduled() {
        return issueScheduled;
    }

    void setIssueScheduled(boolean scheduled) {
        issueScheduled = scheduled;
    }

    /** Counts a request that is sent without a permit. */
    void charge(long nowNanos) {
        bucket.charge(nowNanos);
    }

    /** Applies the demand of an instance and takes back the permits that it returns. */
    void update(InstanceId instance, long incarnation, long sequence, PermitDemand demand, long nowNanos) {
        InstanceDemand known = demands.get(instance);
        if (known == null || known.incarnation() != incarnation) {
            known = new InstanceDemand(incarnation, demand.returnedPermits(), nowNanos);
            demands.put(instance, known);
        }
        bucket.giveBack(known.update(demand, sequence, nowNanos), nowNanos);
    }

    /** Returns the instance that gets the next permit, if there is a demand and a permit; takes the permit. */
    Optional<InstanceId> takeNext(long grantNumber, long nowNanos) {
        Optional<InstanceId> next = mostUrgent(nowNanos);
        if (next.isEmpty() || !bucket.take(nowNanos)) {
            return Optional.empty();
        }
        demands.get(next.get()).issued(grantNumber, nowNanos);
        return next;
    }

    /** Returns the time until the next permit; empty if no instance needs one. */
    Optional<Long> nanosUntilNext(long nowNanos) {
        return mostUrgent(nowNanos).map(instance -> bucket.nanosUntil(1, nowNanos));
    }

    /** Returns the time until the next permit of an instance: demands that are as urgent get one permit each before. */
    long nanosUntilPermitOf(InstanceId instance, long nowNanos) {
        InstanceDemand own = demands.get(instance);
        long asUrgent = otherWaiting(instance, nowNanos)
                .filter(other -> InstanceDemand.byUrgency(nowNanos).compare(other, own) <= 0)
                .count();
        return bucket.nanosUntil(asUrgent + 1, nowNanos);
    }

    /** Returns the time between two permits of an instance while all instances with queued requests have some. */
    long nanosPerPermitOf(InstanceId instance, long nowNanos) {
        return bucket.nanosPer(otherWaiting(instance, nowNanos).count() + 1);
    }

    /** Returns whether the queued requests of all instances need more permits than are issued within a second. */
    boolean isOverLimit(long nowNanos) {
        int waiting = demands.values().stream()
                .mapToInt(demand -> demand.waiting(nowNanos))
                .sum();
        return waiting > 0 && bucket.nanosUntil(waiting, nowNanos) > OVER_LIMIT_NANOS;
    }

    private Stream<InstanceDemand> otherWaiting(InstanceId instance, long nowNanos) {
        return demands.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(instance))
                .map(Map.Entry::getValue)
                .filter(other -> other.waiting(nowNanos) > 0);
    }

    /** Returns the sequence of the last report of an instance. */
    long reportSequence(InstanceId instance) {
        return demands.get(instance).reportSequence();
    }

    private Optional<InstanceId> mostUrgent(long nowNanos) {
        return first(demand -> demand.waiting(nowNanos) > 0, InstanceDemand.byUrgency(nowNanos))
                .or(() -> first(demand -> demand.wantsSpare(nowNanos), InstanceDemand.byLastIssue(nowNanos)));
    }

    private Optional<InstanceId> first(Predicate<InstanceDemand> eligible, Comparator<InstanceDemand> order) {
        return demands.entrySet().stream()
                .filter(entry -> eligible.test(entry.getValue()))
                .min(Map.Entry.comparingByValue(order))
                .map(Map.Entry::getKey);
    }
}
