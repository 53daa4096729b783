package org.basilrill.coordination.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.limit.LimitMessage.Observation;
import org.basilrill.coordination.limit.LimitMessage.PermitDemand;
import org.basilrill.coordination.limit.LimitMessage.PermitGrant;
import org.basilrill.coordination.limit.LimitMessage.PermitIssue;
import org.basilrill.coordination.limit.LimitMessage.PermitReport;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Requests permits from the issuer, which is the leader of the control log, for the targets that state a request rate.
 * Without a permit, this instance sends such a target nothing, also while no issuer is known: what the other instances
 * send is then unknown too. Thread safe: guarded by its own lock, which is not held while messages are sent or
 * listeners are called.
 */
public final class TargetPermits implements RequestPermits {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Number of reports whose send times are retained; reports older than the validity of a permit are not needed. */
    private static final int RETAINED_REPORTS = 1024;

    private final Environment environment;
    private final long incarnation;
    private final PermitPools pools;
    private final List<Observation> observations = new ArrayList<>();
    private final Map<Long, Long> reportNanos = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > RETAINED_REPORTS;
        }
    };

    /** Decides whether a target may be used, with a permit if it needs one. */
    private volatile Predicate<TargetAnnouncement> usable = target -> true;

    private volatile boolean limited;
    private long sequence;
    private long highestTerm = -1;
    private Optional<InstanceId> lastIssuer = Optional.empty();
    private boolean reportScheduled;
    private boolean repeatScheduled;

    /**
     * Creates the permits of one process and registers them with the messenger.
     *
     * @param random source of the incarnation, which distinguishes this process from earlier ones of the instance
     */
    public TargetPermits(Environment environment, RandomGenerator random) {
        this.environment = environment;
        this.incarnation = random.nextLong();
        this.pools = new PermitPools(environment.clock());
        environment.messenger().onIssue(this::received);
    }

    /**
     * The dependencies of the permits.
     *
     * @param issuer the leader of the control log, if it is known
     * @param changeListener is called without a lock when requests may be sent to a target that had no permit
     */
    public record Environment(
            Supplier<Optional<InstanceId>> issuer,
            LimitMessenger messenger,
            Consumer<TargetId> changeListener,
            MonotonicClock clock,
            Scheduler scheduler) {}

    @Override
    public void observe(TargetAnnouncement announcement, Optional<RequestRate> rate) {
        if (rate.isEmpty() && !limited) {
            return;
        }
        TargetKey target = TargetKey.of(announcement);
        boolean ended;
        synchronized (this) {
            long now = environment.clock().nanos();
            rate.ifPresent(stated -> pools.stated(target, stated, now));
            limited = !pools.isEmpty();
            Optional<StatedRate> stated =
                    pools.find(target).flatMap(pool -> pool.limit().stated());
            if (stated.isEmpty()) {
                return;
            }
            ended = rate.isEmpty() && now - stated.get().nanos() > LimitTiming.LIMIT_VALIDITY;
            if (ended) {
                endStated(target);
            }
            observations.add(new Observation(target, rate, 0));
            scheduleReport(LimitTiming.REPORT_DELAY);
        }
        if (ended) {
            environment.changeListener().accept(target.target());
        }
    }

    /**
     * Limits a cold target from now on, without asking the issuer.
     *
     * @param endNanos when the target is warm
     */
    public void limitCold(TargetKey target, RequestRate rate, long endNanos) {
        synchronized (this) {
            cool(target, rate, endNanos, 0);
        }
    }

    /** Reports to the issuer at once that a target has stated to this instance that it is cold. */
    public synchronized void reportCold(TargetKey target) {
        long now = environment.clock().nanos();
        pools.find(target).filter(pool -> pool.limit().isCold(now)).ifPresent(pool -> {
            observations.add(pool.observation(now));
            scheduleReport(LimitTiming.REPORT_DELAY);
        });
    }

    /**
     * Sets the check of whether a target may be used, which comes before that of permits and is called without a lock.
     */
    void setUsable(Predicate<TargetAnnouncement> check) {
        usable = check;
    }

    /** Returns the number of cold targets whose requests need permits. */
    public synchronized int coldTargets() {
        long now = environment.clock().nanos();
        return (int) pools.inForce().filter(pool -> pool.limit().isCold(now)).count();
    }

    /** Returns the number of queued requests that wait for permits, counted once for each target that needs one. */
    public synchronized int awaitedPermits() {
        return pools.inForce().mapToInt(PermitPool::waiting).sum();
    }

    @Override
    public boolean isAvailable(TargetAnnouncement target) {
        if (!usable.test(target)) {
            return false;
        }
        if (!limited) {
            return true;
        }
        synchronized (this) {
            Optional<PermitPool> pool = pools.find(TargetKey.of(target));
            long now = environment.clock().nanos();
            if (pool.isEmpty() || pool.get().hasPermit(now)) {
                return true;
            }
            if (pool.get().requestInAdvance(now)) {
                scheduleReport(LimitTiming.REPORT_DELAY);
            }
            return false;
        }
    }

    @Override
    public boolean acquire(TargetAnnouncement target) {
        if (!usable.test(target)) {
            return false;
        }
        if (!limited) {
            return true;
        }
        synchronized (this) {
            return pools.find(TargetKey.of(target))
                    .map(pool -> pool.take(environment.clock().nanos()))
                    .orElse(true);
        }
    }

    /** Returns whether the target is known to be cold, so that each request needs a permit. */
    public boolean isCold(TargetAnnouncement target) {
        if (!limited) {
            return false;
        }
        synchronized (this) {
            return pools.find(TargetKey.of(target))
                    .filter(pool -> pool.limit().isCold(environment.clock().nanos()))
                    .isPresent();
        }
    }

    @Override
    public synchronized void release(TargetAnnouncement target) {
        pools.find(TargetKey.of(target))
                .ifPresent(pool -> pool.release(environment.clock().nanos()));
    }

    @Override
    public Optional<RequestRate> rateOf(TargetAnnouncement target) {
        if (!limited) {
            return Optional.empty();
        }
        synchronized (this) {
            return pools.find(TargetKey.of(target))
                    .map(pool -> pool.limit().rate(environment.clock().nanos()));
        }
    }

    @Override
    public synchronized Optional<ExpectedPermits> expectedPermits(TargetAnnouncement target) {
        long now = environment.clock().nanos();
        return pools.find(TargetKey.of(target))
                .map(pool -> new ExpectedPermits(pool.nanosUntilPermit(now), pool.nanosPerPermit()));
    }

    @Override
    public boolean hasLimits() {
        return limited;
    }

    @Override
    public synchronized void updateDemand(Map<TargetKey, QueuedDemand> demand) {
        long now = environment.clock().nanos();
        boolean changed = false;
        for (PermitPool pool : pools.inForce().toList()) {
            changed |= pool.updateDemand(Optional.ofNullable(demand.get(pool.target())), now);
        }
        if (changed) {
            scheduleReport(LimitTiming.REPORT_DELAY);
        }
    }

    /** Limits a cold target, and schedules the end of the limit. */
    private void cool(TargetKey target, RequestRate rate, long endNanos, long toleranceNanos) {
        if (pools.cool(target, rate, endNanos, toleranceNanos, sequence)) {
            limited = true;
            scheduleColdEnd(target);
            scheduleRepetition();
        }
    }

    private void scheduleColdEnd(TargetKey target) {
        PermitPool pool = pools.find(target).orElseThrow();
        if (!pool.endScheduled()) {
            pool.setEndScheduled(true);
            Duration remaining =
                    Duration.ofNanos(pool.limit().coldNanos(environment.clock().nanos()));
            environment.scheduler().schedule(remaining, () -> coldEndDue(target, pool));
        }
    }

    private void coldEndDue(TargetKey target, PermitPool pool) {
        synchronized (this) {
            pool.setEndScheduled(false);
            if (pool.limit().isCold(environment.clock().nanos())) {
                pools.find(target).filter(pool::equals).ifPresent(known -> scheduleColdEnd(target));
                return;
            }
            pools.removeIfOver(target);
            limited = !pools.isEmpty();
            LOGGER.atInfo().log("%s: %s", LogEvent.TARGET_WARM, target);
        }
        environment.changeListener().accept(target.target());
    }

    private void endStated(TargetKey target) {
        pools.endStated(target);
        limited = !pools.isEmpty();
    }

    private void scheduleReport(Duration delay) {
        if (!reportScheduled) {
            reportScheduled = true;
            environment.scheduler().schedule(delay, () -> report(false));
        }
    }

    private void report(boolean repeated) {
        Optional<InstanceId> issuer = environment.issuer().get();
        PermitReport report;
        synchronized (this) {
            if (repeated) {
                repeatScheduled = false;
            } else {
                reportScheduled = false;
            }
            scheduleRepetition();
            if (issuer.isEmpty()) {
                return;
            }
            long now = environment.clock().nanos();
            if (!issuer.equals(lastIssuer)) {
                lastIssuer = issuer;
                pools.inForce().forEach(pool -> observations.add(pool.observation(now)));
            }
            List<PermitDemand> demands = pools.inForce()
                    .filter(PermitPool::isActive)
                    .map(pool -> pool.report(now))
                    .toList();
            if (demands.isEmpty() && observations.isEmpty()) {
                return;
            }
            report = new PermitReport(incarnation, ++sequence, demands, observations);
            observations.clear();
            reportNanos.put(sequence, now);
        }
        environment.messenger().send(issuer.get(), report);
    }

    /** Repeats the reports while any limit is known, so that a lost report or a new issuer costs one interval. */
    private void scheduleRepetition() {
        if (!repeatScheduled && !pools.isEmpty()) {
            repeatScheduled = true;
            environment.scheduler().schedule(LimitTiming.REPORT_INTERVAL, () -> report(true));
        }
    }

    private void received(InstanceId sender, PermitIssue issue) {
        List<TargetId> changed = new ArrayList<>();
        synchronized (this) {
            if (issue.term() < highestTerm) {
                return;
            }
            if (issue.term() > highestTerm) {
                highestTerm = issue.term();
                pools.inForce().forEach(PermitPool::issuerChanged);
            }
            long now = environment.clock().nanos();
            issue.limits().forEach(limit -> applyLimit(limit, now, changed));
            issue.grants().forEach(grant -> applyGrant(grant, now, changed));
            if (issue.grants().stream().anyMatch(grant -> grant.permits() > 0)) {
                scheduleReport(LimitTiming.CONFIRMATION_DELAY);
            }
        }
        changed.forEach(environment.changeListener());
    }

    private void applyLimit(Observation limit, long nowNanos, List<TargetId> changed) {
        long atNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(limit.ageMillis());
        if (limit.isCold()) {
            long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(limit.coldRemainingMillis());
            cool(limit.target(), limit.rate().get(), endNanos, TargetLimit.END_TOLERANCE);
        } else if (limit.rate().isPresent()) {
            pools.stated(limit.target(), limit.rate().get(), atNanos);
            limited = true;
            scheduleRepetition();
        } else if (pools.find(limit.target())
                .flatMap(pool -> pool.limit().stated())
                .filter(stated -> nowNanos - stated.nanos() > LimitTiming.PERMIT_VALIDITY)
                .isPresent()) {
            endStated(limit.target());
            changed.add(limit.target().target());
        }
    }

    private void applyGrant(PermitGrant grant, long nowNanos, List<TargetId> changed) {
        Optional<PermitPool> pool = pools.find(grant.target());
        Long reportedNanos = reportNanos.get(grant.reportSequence());
        if (pool.isPresent() && reportedNanos != null) {
            pool.get().received(grant, reportedNanos + LimitTiming.PERMIT_VALIDITY, nowNanos);
            changed.add(grant.target().target());
        }
    }
}
