package org.basilrill.coordination.control;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.basilrill.api.MonotonicClock;

/**
 * Measures the age of confirmations with two clocks. The monotonic clock does not count the time for which a machine is
 * suspended, and the wall clock can be set; while they disagree about an age, it is unknown. Immutable and thread safe.
 */
final class ConfirmationClock {
    /** Difference between the clocks up to which both count as right; covers the adjustment of a wall clock. */
    static final Duration MAXIMUM_DIFFERENCE = Duration.ofMillis(500);

    private final MonotonicClock clock;
    private final LongSupplier wallClockMillis;

    ConfirmationClock(MonotonicClock clock, LongSupplier wallClockMillis) {
        this.clock = clock;
        this.wallClockMillis = wallClockMillis;
    }

    /** Returns the time of both clocks. */
    Instant now() {
        return new Instant(clock.nanos(), wallClockMillis.getAsLong());
    }

    /** Returns the monotonic time since the instant. */
    Duration age(Instant since) {
        return Duration.ofNanos(clock.nanos() - since.nanos());
    }

    /** Returns whether the instant is certainly less than the bound ago. */
    boolean isWithin(Instant since, Duration bound) {
        Duration age = age(since);
        return age.compareTo(bound) < 0 && !hasDiverged(since, age);
    }

    /** Returns whether the machine was suspended, or its wall clock set, since the instant. */
    boolean hasDiverged(Instant since) {
        return hasDiverged(since, age(since));
    }

    private boolean hasDiverged(Instant since, Duration age) {
        Duration wallAge = Duration.ofMillis(wallClockMillis.getAsLong() - since.wallMillis());
        return wallAge.minus(age).abs().compareTo(MAXIMUM_DIFFERENCE) > 0;
    }

    /** One time, by both clocks. */
    record Instant(long nanos, long wallMillis) {
        /** Returns whether this instant is later than another one of this process. */
        boolean isAfter(Instant other) {
            return nanos - other.nanos > 0;
        }
    }
}
