package org.basilrill.coordination.admission;

import java.time.Duration;

/**
 * Constants of queueing. Immutable and thread safe.
 *
 * @param queueLimit requests one client account may have waiting in one priority class
 * @param dispatchesPerTurn a waiting class gets at least one in this many dispatches
 * @param recheckInterval how often waiting requests are looked at although no event made a slot free; ejections and
 *     back-offs end without an event
 * @param shortestRetryAfter lower limit of the retry time in refusals
 * @param longestRetryAfter upper limit of the retry time in refusals
 */
public record DispatcherOptions(
        int queueLimit,
        int dispatchesPerTurn,
        Duration recheckInterval,
        Duration shortestRetryAfter,
        Duration longestRetryAfter) {
    /** Returns the values of the design page. */
    public static DispatcherOptions defaults() {
        return new DispatcherOptions(256, 10, Duration.ofMillis(20), Duration.ofMillis(100), Duration.ofSeconds(30));
    }
}
