package org.basilrill.state.target;

import java.time.Duration;
import org.basilrill.api.TargetId;

/**
 * The suspicion that an incarnation of a target has ended, so that its announced software version does not count for a
 * while. Immutable and thread safe.
 *
 * @param validity time after which the suspicion ends unless it is renewed
 */
public record RestartSuspicion(TargetId target, long incarnation, Duration validity) {
    /** Time in which an announcement reaches all instances, added to its time to live. */
    private static final Duration SPREAD = Duration.ofSeconds(2);

    /** Returns the suspicion of a target that refused a connection. */
    public static RestartSuspicion of(TargetAnnouncement target) {
        return new RestartSuspicion(
                target.id(),
                target.incarnation(),
                Duration.ofMillis(target.timeToLiveMillis()).plus(SPREAD));
    }
}
