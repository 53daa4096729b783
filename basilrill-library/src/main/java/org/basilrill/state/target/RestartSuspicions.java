package org.basilrill.state.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;

/**
 * Targets that refused a connection, here or at another instance, after their last announcement. They may have started
 * again under the same ID with another software version. The announced version counts again once a later incarnation
 * has announced itself, an exchange from before the suspicion goes on, or the announcement of the same incarnation
 * would have expired without new announcements. Thread safe.
 */
final class RestartSuspicions {
    /** Bytes that the target sent before it ended are read within this time. */
    private static final Duration READ_DELAY = Duration.ofMillis(250);
    /** Longer than the news of another instance takes; a target may have ended that long before the news arrives. */
    private static final Duration NEWS_DELAY = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final Map<TargetId, Suspicion> suspicions = new HashMap<>();
    /** Spares the lock for each part of a response while no target is suspected, which is usual. */
    private volatile boolean anySuspicion;

    RestartSuspicions(MonotonicClock clock) {
        this.clock = clock;
    }

    synchronized void suspect(RestartSuspicion suspicion) {
        long now = clock.nanos();
        suspicions.values().removeIf(known -> known.isExpired(now));
        long expiresNanos = now + suspicion.validity().toNanos();
        suspicions.merge(
                suspicion.target(),
                new Suspicion(suspicion.incarnation(), now, now, expiresNanos),
                (known, next) -> known.renewedBy(next));
        anySuspicion = true;
    }

    /**
     * Ends the suspicion of a target if an exchange with it proves that it has not started again: the exchange began to
     * receive bytes well before the suspicion, and received some after it.
     *
     * @param receivingSinceNanos when the exchange received its first bytes
     * @return whether a suspicion ended
     */
    boolean exchangeContinues(TargetAnnouncement target, long receivingSinceNanos) {
        return anySuspicion && endIfDisproved(target, receivingSinceNanos);
    }

    private synchronized boolean endIfDisproved(TargetAnnouncement target, long receivingSinceNanos) {
        Suspicion suspicion = suspicions.get(target.id());
        if (suspicion == null || suspicion.incarnation() != target.incarnation()) {
            return false;
        }
        boolean older = suspicion.beganNanos() - receivingSinceNanos >= NEWS_DELAY.toNanos();
        boolean goesOn = clock.nanos() - suspicion.renewedNanos() >= READ_DELAY.toNanos();
        if (older && goesOn) {
            end(target.id());
        }
        return older && goesOn;
    }

    /** Returns the announcement, with an unconfirmed version if its target may have started again since. */
    synchronized TargetAnnouncement apply(TargetAnnouncement announcement) {
        Suspicion suspicion = suspicions.get(announcement.id());
        if (suspicion == null) {
            return announcement;
        }
        boolean later = announcement.incarnation() > suspicion.incarnation();
        if (later || suspicion.isExpired(clock.nanos())) {
            end(announcement.id());
            return announcement;
        }
        return announcement.withUnconfirmedVersion();
    }

    private void end(TargetId target) {
        suspicions.remove(target);
        anySuspicion = !suspicions.isEmpty();
    }

    /**
     * The suspicion that one incarnation has ended.
     *
     * @param beganNanos time of the first sign or news
     * @param renewedNanos time of the last sign or news
     */
    private record Suspicion(long incarnation, long beganNanos, long renewedNanos, long expiresNanos) {
        boolean isExpired(long nowNanos) {
            return nowNanos - expiresNanos >= 0;
        }

        /** Returns the suspicion after a further sign or news. */
        Suspicion renewedBy(Suspicion next) {
            if (next.incarnation != incarnation) {
                return next.incarnation > incarnation ? next : this;
            }
            long later = next.expiresNanos - expiresNanos > 0 ? next.expiresNanos : expiresNanos;
            return new Suspicion(incarnation, beganNanos, next.renewedNanos, later);
        }
    }
}
