package org.basilrill.coordination.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
    private final Map<TargetKey, PermitPool> pools = new HashMap<>();
    private final List<Observation> observations = new ArrayList<>();
    private final Map<Long, Long> reportNanos = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > RETAINED_REPORTS;
        }
    };

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
            rate.ifPresent(stated -> stated(target, stated, now));
            PermitPool pool = pools.get(target);
            if (pool == null) {
                return;
            }
            ended = rate.isEmpty() && now - pool.limit().nanos() > LimitTiming.LIMIT_VALIDITY;
            if (ended) {
                end(target);
            }
            observations.add(new Observation(target, rate, 0));
            scheduleReport(LimitTiming.REPORT_DELAY);
        }
        if (ended) {
            environment.changeListener().accept(target.target());
        }
    }

    @Override
    public boolean isAvailable(TargetAnnouncement target) {
        if (!limited) {
            return true;
        }
        synchronized (this) {
            PermitPool pool = pools.get(TargetKey.of(target));
            long now = environment.clock().nanos();
            if (pool == null || pool.hasPermit(now)) {
                return true;
            }
            if (pool.requestInAdvance(now)) {
                scheduleReport(LimitTiming.REPORT_DELAY);
            }
            return false;
        }
    }

    @Override
    public boolean acquire(TargetAnnouncement target) {
        if (!limited) {
            return true;
        }
        synchronized (this) {
            PermitPool pool = pools.get(TargetKey.of(target));
            return pool == null || pool.take(environment.clock().nanos());
        }
    }

    @Override
    public synchronized void release(TargetAnnouncement target) {
        Optional.ofNullable(pools.get(TargetKey.of(target)))
                .ifPresent(pool -> pool.release(environment.clock().nanos()));
    }

    @Override
    public Optional<RequestRate> rateOf(TargetAnnouncement target) {
        if (!limited) {
            return Optional.empty();
        }
        synchronized (this) {
            return Optional.ofNullable(pools.get(TargetKey.of(target)))
                    .map(pool -> pool.limit().rate());
        }
    }

    @Override
    public synchronized Optional<ExpectedPermits> expectedPermits(TargetAnnouncement target) {
        long now = environment.clock().nanos();
        return Optional.ofNullable(pools.get(TargetKey.of(target)))
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
        for (Map.Entry<TargetKey, PermitPool> entry : pools.entrySet()) {
            Optional<QueuedDemand> ofTarget = Optional.ofNullable(demand.get(entry.getKey()));
            changed |= entry.getValue().updateDemand(ofTarget, now);
        }
        if (changed) {
            scheduleReport(LimitTiming.REPORT_DELAY);
        }
    }

    private void stated(TargetKey target, RequestRate rate, long atNanos) {
        PermitPool known = pools.get(target);
        boolean changed = known == null || known.limit().update(rate, atNanos);
        if (known == null) {
            forgetOldLimits(target);
            pools.put(target, new PermitPool(target, rate, atNanos));
            limited = true;
        }
        if (changed) {
            LOGGER.atInfo().log(
                    "%s: %s, %s requests per second", LogEvent.TARGET_LIMIT_STATED, target, rate.perSecond());
        }
    }

    private void end(TargetKey target) {
        pools.remove(target);
        limited = !pools.isEmpty();
        LOGGER.atInfo().log("%s: %s", LogEvent.TARGET_LIMIT_ENDED, target);
    }

    /** Removes the limits of earlier incarnations of a target, and those of targets that are probably gone. */
    private void forgetOldLimits(TargetKey added) {
        long now = environment.clock().nanos();
        pools.entrySet().removeIf(entry -> {
            TargetKey key = entry.getKey();
            boolean replaced = key.target().equals(added.target()) && key.incarnation() < added.incarnation();
            return replaced || now - entry.getValue().limit().nanos() > LimitTiming.LIMIT_RETENTION;
        });
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
                pools.values().forEach(pool -> observations.add(pool.observation(now)));
            }
            List<PermitDemand> demands = pools.values().stream()
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
                pools.values().forEach(PermitPool::issuerChanged);
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
        PermitPool pool = pools.get(limit.target());
        long atNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(limit.ageMillis());
        if (limit.rate().isPresent()) {
            stated(limit.target(), limit.rate().get(), atNanos);
            scheduleRepetition();
        } else if (pool != null && nowNanos - pool.limit().nanos() > LimitTiming.PERMIT_VALIDITY) {
            end(limit.target());
            changed.add(limit.target().target());
        }
    }

    private void applyGrant(PermitGrant grant, long nowNanos, List<TargetId> changed) {
        PermitPool pool = pools.get(grant.target());
        Long reportedNanos = reportNanos.get(grant.reportSequence());
        if (pool != null && reportedNanos != null) {
            pool.received(grant, reportedNanos + LimitTiming.PERMIT_VALIDITY, nowNanos);
            changed.add(grant.target().target());
        }
    }
}
