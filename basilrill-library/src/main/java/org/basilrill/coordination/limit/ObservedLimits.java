package org.basilrill.coordination.limit;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * The request rates that targets have stated in their responses to this instance, and logs when one begins, changes and
 * ends. A response without a rate ends the limit only if no response has stated one for {@link #VALIDITY}, because a
 * target may state it in some responses only. Thread safe: guarded by its own lock.
 */
public final class ObservedLimits {
    /** Longer than the window over which a target counts its requests, 4 s on the known platforms. */
    static final Duration VALIDITY = Duration.ofSeconds(5);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MonotonicClock clock;
    private final Map<TargetKey, Limit> limits = new HashMap<>();

    public ObservedLimits(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records whether a response of the target stated a rate. */
    public synchronized void observe(TargetAnnouncement target, Optional<RequestRate> rate) {
        TargetKey key = TargetKey.of(target);
        Limit known = limits.get(key);
        long now = clock.nanos();
        if (rate.isPresent()) {
            if (known == null || !known.rate().equals(rate.get())) {
                LOGGER.atInfo().log(
                        "%s: target %s, incarnation %d, %s requests per second",
                        LogEvent.TARGET_LIMIT_STATED,
                        key.target(),
                        key.incarnation(),
                        rate.get().perSecond());
            }
            limits.put(key, new Limit(rate.get(), now));
        } else if (known != null && now - known.statedNanos() > VALIDITY.toNanos()) {
            LOGGER.atInfo().log(
                    "%s: target %s, incarnation %d", LogEvent.TARGET_LIMIT_ENDED, key.target(), key.incarnation());
            limits.remove(key);
        }
    }

    /** Returns the rate that the target stated most recently. */
    public synchronized Optional<RequestRate> rateOf(TargetAnnouncement target) {
        return Optional.ofNullable(limits.get(TargetKey.of(target))).map(Limit::rate);
    }

    /** A stated rate and the time of the last response that stated it. */
    private record Limit(RequestRate rate, long statedNanos) {}
}
