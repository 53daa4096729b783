package org.basilrill.state.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;

/**
 * Targets that refused a connection after their last announcement. They may have started again under the same ID with
 * another software version, so the announced version counts only once a later incarnation has announced itself, or once
 * the announcement of the same one would have expired without new announcements. Thread safe.
 */
final class RestartSuspicions {
    /** Time in which an announcement reaches all instances, added to its time to live. */
    private static final Duration SPREAD = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final Map<TargetId, Suspicion> suspicions = new HashMap<>();

    RestartSuspicions(MonotonicClock clock) {
        this.clock = clock;
    }

    synchronized void suspect(TargetAnnouncement target) {
        long validNanos =
                Duration.ofMillis(target.timeToLiveMillis()).plus(SPREAD).toNanos();
        suspicions.put(target.id(), new Suspicion(target.incarnation(), clock.nanos() + validNanos));
    }

    /** Returns the announcement, with an unconfirmed version if its target may have started again since. */
    synchronized TargetAnnouncement apply(TargetAnnouncement announcement) {
        Suspicion suspicion = suspicions.get(announcement.id());
        if (suspicion == null) {
            return announcement;
        }
        boolean later = announcement.incarnation() > suspicion.incarnation();
        if (later || clock.nanos() - suspicion.expiresNanos() >= 0) {
            suspicions.remove(announcement.id());
            return announcement;
        }
        return announcement.withUnconfirmedVersion();
    }

    /** The suspicion that one incarnation has ended. */
    private record Suspicion(long incarnation, long expiresNanos) {}
}
