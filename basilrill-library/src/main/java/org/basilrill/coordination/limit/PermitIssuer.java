package org.basilrill.coordination.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.limit.LimitMessage.Observation;
import org.basilrill.coordination.limit.LimitMessage.PermitDemand;
import org.basilrill.coordination.limit.LimitMessage.PermitGrant;
import org.basilrill.coordination.limit.LimitMessage.PermitReport;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Issues the permits for targets with a limited request rate to all instances, while this replica leads the control
 * log; does nothing otherwise. The permits issued in any window are at most the rate times the length of the window,
 * plus the burst of the bucket. The buckets of a new leader start empty, because it does not know what its predecessor
 * issued.
 *
 * <p>Thread safe: guarded by its own lock, which is not held while messages are sent.
 */
public final class PermitIssuer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Environment environment;
    private final Map<TargetKey, LimitedTarget> targets = new HashMap<>();
    /** Limits that have ended, with the time of the end, for instances that missed the notice. */
    private final Map<TargetKey, Long> ended = new HashMap<>();

    private final Map<InstanceId, ReportPosition> lastReports = new HashMap<>();
    private long observedTerm = -1;
    private long lastGrant;
    private boolean noticesScheduled;

    /** Creates an issuer and registers it with the messenger. */
    public PermitIssuer(Environment environment) {
        this.environment = environment;
        environment.messenger().onReport(this::received);
    }

    /**
     * The dependencies of the issuer.
     *
     * @param term term of the leadership; greater than the term of every previous leader
     * @param members all known instances, which are notified of limits
     */
    public record Environment(
            BooleanSupplier isLeader,
            LongSupplier term,
            Supplier<? extends Collection<InstanceId>> members,
            LimitMessenger messenger,
            MonotonicClock clock,
            Scheduler scheduler) {}

    /** Counts a request that this instance sends to a target without a permit, for example a target order. */
    public synchronized void charge(TargetAnnouncement target) {
        if (leads()) {
            Optional.ofNullable(targets.get(TargetKey.of(target)))
                    .ifPresent(limited -> limited.charge(environment.clock().nanos()));
        }
    }

    /** Returns whether more requests are queued for a target than its request rate serves within a second. */
    public synchronized boolean isOverLimit(TargetAnnouncement target) {
        return leads()
                && Optional.ofNullable(targets.get(TargetKey.of(target)))
                        .filter(limited ->
                                limited.isOverLimit(environment.clock().nanos()))
                        .isPresent();
    }

    private void received(InstanceId sender, PermitReport report) {
        IssueBatch batch;
        synchronized (this) {
            ReportPosition position = new ReportPosition(report.incarnation(), report.sequence());
            if (!leads() || !position.isAfter(lastReports.get(sender))) {
                return;
            }
            lastReports.put(sender, position);
            batch = new IssueBatch(observedTerm);
            report.observations().forEach(observation -> observe(observation, batch));
            report.demands().forEach(demand -> updateDemand(sender, report, demand, batch));
            report.demands().forEach(demand -> issue(demand.target(), batch));
            report.demands().forEach(demand -> addWait(sender, demand.target(), batch));
        }
        send(batch);
    }

    /** Returns whether this replica leads; in a new term, clears the state of the earlier one. */
    private boolean leads() {
        if (!environment.isLeader().getAsBoolean()) {
            return false;
        }
        long term = environment.term().getAsLong();
        if (term != observedTerm) {
            observedTerm = term;
            targets.clear();
            ended.clear();
            lastReports.clear();
        }
        return true;
    }

    private void observe(Observation observation, IssueBatch batch) {
        long now = environment.clock().nanos();
        long at = now - TimeUnit.MILLISECONDS.toNanos(observation.ageMillis());
        LimitedTarget known = targets.get(observation.target());
        if (observation.rate().isPresent()) {
            limited(observation, batch);
        } else if (known != null
                && known.limit()
                        .stated()
                        .filter(stated -> at - stated.nanos() > LimitTiming.LIMIT_VALIDITY)
                        .isPresent()) {
            known.limit().endStated();
            ended.put(observation.target(), now);
            removeIfOver(observation.target(), now);
            batch.addLimit(new Observation(observation.target(), Optional.empty(), 0));
        }
    }

    /** Applies a limit that an instance has observed. */
    private void limited(Observation observation, IssueBatch batch) {
        TargetKey target = observation.target();
        long now = environment.clock().nanos();
        long at = now - TimeUnit.MILLISECONDS.toNanos(observation.ageMillis());
        Long endedNanos = ended.get(target);
        if (!observation.isCold() && endedNanos != null && at - endedNanos < 0) {
            batch.addLimit(new Observation(target, Optional.empty(), 0));
            return;
        }
        removeIfOver(target, now);
        Optional<LimitedTarget> known = Optional.ofNullable(targets.get(target));
        TargetLimit limit = known.map(LimitedTarget::limit).orElseGet(TargetLimit::new);
        RequestRate rate = observation.rate().orElseThrow();
        long endNanos = now + TimeUnit.MILLISECONDS.toNanos(observation.coldRemainingMillis());
        boolean changed = observation.isCold()
                ? limit.cool(rate, endNanos, now, TargetLimit.END_TOLERANCE)
                : limit.state(rate, at);
        known.ifPresent(present -> present.refreshRate(now));
        if (known.isEmpty()) {
            forgetOldLimits(now);
            ended.remove(target);
            targets.put(target, new LimitedTarget(limit, now));
            scheduleNotices();
        }
        if (changed) {
            LOGGER.atInfo().log(
                    "%s: %s, %s requests per second%s, term %d",
                    LogEvent.TARGET_PERMITS_ISSUED,
                    target,
                    rate.perSecond(),
                    observation.isCold() ? " while cold, " + observation.coldRemainingMillis() + " ms" : "",
                    observedTerm);
            addNotice(target, limit, now, batch);
        }
    }

    /**
     * Adds a limit of which all instances are notified. The last part of a cold state is not passed on: an instance
     * that did not know it would take the end for that of a new phase, later by the delay of the message.
     */
    private static void addNotice(TargetKey target, TargetLimit limit, long now, IssueBatch batch) {
        if (!limit.isCold(now) || limit.coldNanos(now) >= TargetLimit.END_TOLERANCE) {
            batch.addLimit(limit.observation(target, now));
        }
    }

    /** Issues no more permits for a target that nothing limits any more. */
    private void removeIfOver(TargetKey target, long now) {
        LimitedTarget known = targets.get(target);
        if (known != null && known.limit().isOver(now)) {
            targets.remove(target);
            LOGGER.atInfo().log("%s: %s, term %d", LogEvent.TARGET_PERMITS_ENDED, target, observedTerm);
        }
    }

    private void updateDemand(InstanceId sender, PermitReport report, PermitDemand demand, IssueBatch batch) {
        long now = environment.clock().nanos();
        if (demand.limit().rate().isPresent()) {
            limited(demand.limit(), batch);
        }
        Optional.ofNullable(targets.get(demand.target()))
                .ifPresent(target -> target.update(sender, report.incarnation(), report.sequence(), demand, now));
    }

    /** Issues the permits that are available, and schedules the next one if there is a demand for it. */
    private void issue(TargetKey key, IssueBatch batch) {
        long now = environment.clock().nanos();
        removeIfOver(key, now);
        LimitedTarget target = targets.get(key);
        if (target == null) {
            return;
        }
        target.refreshRate(now);
        Optional<InstanceId> next = target.takeNext(lastGrant + 1, now);
        while (next.isPresent()) {
            lastGrant++;
            batch.grant(next.get(), grantOf(key, 1, next.get()));
            next = target.takeNext(lastGrant + 1, now);
        }
        if (!target.issueScheduled()) {
            target.nanosUntilNext(now).ifPresent(delay -> scheduleIssue(key, target, delay));
        }
    }

    private void scheduleIssue(TargetKey key, LimitedTarget target, long delayNanos) {
        target.setIssueScheduled(true);
        environment.scheduler().schedule(Duration.ofNanos(delayNanos), () -> {
            IssueBatch batch;
            synchronized (this) {
                target.setIssueScheduled(false);
                if (!leads() || targets.get(key) != target) {
                    return;
                }
                batch = new IssueBatch(observedTerm);
                issue(key, batch);
            }
            send(batch);
        });
    }

    /** Reports to an instance how long it waits for its next permit. */
    private void addWait(InstanceId sender, TargetKey key, IssueBatch batch) {
        if (targets.containsKey(key)) {
            batch.grant(sender, grantOf(key, 0, sender));
        }
    }

    private PermitGrant grantOf(TargetKey key, int permits, InstanceId recipient) {
        LimitedTarget target = targets.get(key);
        long now = environment.clock().nanos();
        return new PermitGrant(
                key,
                lastGrant,
                permits,
                TimeUnit.NANOSECONDS.toMillis(target.nanosUntilPermitOf(recipient, now)),
                TimeUnit.NANOSECONDS.toMillis(target.nanosPerPermitOf(recipient, now)),
                target.reportSequence(recipient));
    }

    private void scheduleNotices() {
        if (noticesScheduled) {
            return;
        }
        noticesScheduled = true;
        environment.scheduler().schedule(LimitTiming.NOTICE_INTERVAL, () -> {
            IssueBatch batch;
            synchronized (this) {
                noticesScheduled = false;
                if (!leads() || targets.isEmpty()) {
                    return;
                }
                batch = new IssueBatch(observedTerm);
                long now = environment.clock().nanos();
                forgetOldLimits(now);
                targets.forEach((key, target) -> addNotice(key, target.limit(), now, batch));
                scheduleNotices();
            }
            send(batch);
        });
    }

    private void forgetOldLimits(long nowNanos) {
        targets.values().removeIf(target -> target.limit().isForgettable(nowNanos));
        ended.values().removeIf(endedNanos -> nowNanos - endedNanos > LimitTiming.LIMIT_RETENTION);
    }

    private void send(IssueBatch batch) {
        Collection<InstanceId> members =
                batch.notifiesAll() ? environment.members().get() : List.of();
        batch.messages(members).forEach(environment.messenger()::send);
    }

    /** Position of a report in the reports of one instance; incarnations are random and have no order. */
    private record ReportPosition(long incarnation, long sequence) {
        boolean isAfter(ReportPosition other) {
            return other == null || incarnation != other.incarnation || sequence > other.sequence;
        }
    }
}
