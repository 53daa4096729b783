package org.basilrill.coordination.limit;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilrill.coordination.limit.LimitMessage.Observation;
import org.basilrill.state.target.RequestRate;

/**
 * The limit of the request rate of one incarnation of a target: the rate that it states in responses, the rate that it
 * accepts while it is cold, or the lower one of both. The limit of a cold target ends by itself at a known time. Not
 * thread safe; guarded by its user.
 */
final class TargetLimit {
    /**
     * A time until warm that another instance passed on is an estimate of the same end if it is later by no more than
     * this. Without the tolerance, each message would move the end by its delay, and two instances that notify each
     * other would extend it without end.
     */
    static final long END_TOLERANCE = Duration.ofSeconds(1).toNanos();

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private Optional<StatedRate> stated = Optional.empty();
    private Optional<RequestRate> coldRate = Optional.empty();
    private long coldEndNanos;

    /** Returns the rate stated in responses; empty if there is none. */
    Optional<StatedRate> stated() {
        return stated;
    }

    /** Applies a statement in a response unless a newer one is known; returns whether the rate changed notably. */
    boolean state(RequestRate rate, long atNanos) {
        if (stated.isPresent()) {
            return stated.get().update(rate, atNanos);
        }
        stated = Optional.of(new StatedRate(rate, atNanos));
        return true;
    }

    /** Ends the stated rate. */
    void endStated() {
        stated = Optional.empty();
    }

    /**
     * Limits a cold target until a time. A known later end stays, because a statement may have been overtaken.
     *
     * @param toleranceNanos time by which a later end is an estimate of the known one
     * @return whether the target was not known to be cold, or is cold for longer
     */
    boolean cool(RequestRate rate, long endNanos, long nowNanos, long toleranceNanos) {
        if (endNanos - nowNanos <= 0 || isCold(nowNanos) && endNanos - coldEndNanos <= toleranceNanos) {
            return false;
        }
        coldRate = Optional.of(rate);
        coldEndNanos = endNanos;
        return true;
    }

    /** Returns whether the target is cold. */
    boolean isCold(long nowNanos) {
        return coldRate.isPresent() && coldEndNanos - nowNanos > 0;
    }

    /** Returns the time until the target is warm; 0 if it is not cold. */
    long coldNanos(long nowNanos) {
        return isCold(nowNanos) ? coldEndNanos - nowNanos : 0;
    }

    /** Returns whether nothing limits the target any more. */
    boolean isOver(long nowNanos) {
        return stated.isEmpty() && !isCold(nowNanos);
    }

    /** Returns whether the target is probably gone, because nothing was heard of its limit for long. */
    boolean isForgettable(long nowNanos) {
        return isOver(nowNanos) || !isCold(nowNanos) && nowNanos - stated.get().nanos() > LimitTiming.LIMIT_RETENTION;
    }

    /** Returns the rate that applies; that of the cold state if nothing limits the target any more. */
    RequestRate rate(long nowNanos) {
        if (!isCold(nowNanos)) {
            return stated.map(StatedRate::rate).or(() -> coldRate).orElseThrow();
        }
        return stated.map(StatedRate::rate)
                .filter(rate -> rate.perSecond() < coldRate.get().perSecond())
                .orElse(coldRate.get());
    }

    /**
     * Returns what is known about the limit. While the target is cold, the rate is the lower one of both, so that an
     * issuer of an earlier release, which reads the rate only, keeps to it. The remaining time is rounded up, because 0
     * would make it the statement of a response.
     */
    Observation observation(TargetKey target, long nowNanos) {
        long ageNanos = isCold(nowNanos)
                ? 0
                : Math.max(0, nowNanos - stated.map(StatedRate::nanos).orElse(nowNanos));
        return new Observation(
                target,
                Optional.of(rate(nowNanos)),
                TimeUnit.NANOSECONDS.toMillis(ageNanos),
                (coldNanos(nowNanos) + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    }
}
