package org.basilrill.coordination.limit;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.state.target.RequestRate;

/** The limited targets that one instance knows, each with its permits. Not thread safe; guarded by its user. */
final class PermitPools {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MonotonicClock clock;
    private final Map<TargetKey, PermitPool> pools = new HashMap<>();

    PermitPools(MonotonicClock clock) {
        this.clock = clock;
    }

    boolean isEmpty() {
        return pools.isEmpty();
    }

    /** Returns the permits of a target whose limit has not ended. */
    Optional<PermitPool> find(TargetKey target) {
        return Optional.ofNullable(pools.get(target))
                .filter(pool -> !pool.limit().isOver(clock.nanos()));
    }

    /** Returns the permits of all targets whose limits have not ended. */
    Stream<PermitPool> inForce() {
        long now = clock.nanos();
        return pools.values().stream().filter(pool -> !pool.limit().isOver(now));
    }

    /** Applies a rate that a target has stated. */
    void stated(TargetKey target, RequestRate rate, long atNanos) {
        if (poolFor(target).limit().state(rate, atNanos)) {
            LOGGER.atInfo().log(
                    "%s: %s, %s requests per second", LogEvent.TARGET_LIMIT_STATED, target, rate.perSecond());
        }
    }

    /**
     * Limits a cold target. Permits that a higher rate allowed are not used.
     *
     * @param toleranceNanos time by which a later end is an estimate of the known one
     * @param lastReport sequence of the last report to the issuer
     * @return whether the end of the cold state has changed
     */
    boolean cool(TargetKey target, RequestRate rate, long endNanos, long toleranceNanos, long lastReport) {
        long now = clock.nanos();
        if (endNanos - now <= 0) {
            return false;
        }
        PermitPool pool = poolFor(target);
        TargetLimit limit = pool.limit();
        boolean wasCold = limit.isCold(now);
        boolean lowered =
                limit.isOver(now) || rate.perSecond() < limit.rate(now).perSecond();
        if (!limit.cool(rate, endNanos, now, toleranceNanos)) {
            return false;
        }
        if (lowered) {
            pool.rateLowered(lastReport);
        }
        if (!wasCold) {
            LOGGER.atInfo().log(
                    "%s: %s, %s requests per second, for %d ms",
                    LogEvent.TARGET_COLD, target, rate.perSecond(), TimeUnit.NANOSECONDS.toMillis(endNanos - now));
        }
        return true;
    }

    /** Ends the rate that a target has stated; a cold state continues. */
    void endStated(TargetKey target) {
        pools.get(target).limit().endStated();
        LOGGER.atInfo().log("%s: %s", LogEvent.TARGET_LIMIT_ENDED, target);
        removeIfOver(target);
    }

    /** Removes a target that nothing limits any more. */
    void removeIfOver(TargetKey target) {
        long now = clock.nanos();
        pools.computeIfPresent(target, (key, pool) -> pool.limit().isOver(now) ? null : pool);
    }

    private PermitPool poolFor(TargetKey target) {
        PermitPool known = pools.get(target);
        if (known == null) {
            forgetOldLimits(target);
            known = new PermitPool(target, clock.nanos());
            pools.put(target, known);
        }
        return known;
    }

    /** Removes the limits of earlier incarnations of a target, and those of targets that are probably gone. */
    private void forgetOldLimits(TargetKey added) {
        long now = clock.nanos();
        pools.entrySet().removeIf(entry -> {
            TargetKey key = entry.getKey();
            boolean replaced = key.target().equals(added.target()) && key.incarnation() < added.incarnation();
            return replaced || entry.getValue().limit().isForgettable(now);
        });
    }
}
