package org.basilrill.coordination.admission;

import java.time.Duration;

/**
 * Constants of the request queue. Immutable and thread safe.
 *
 * @param queueLimit maximum number of queued requests of one client account in one priority class
 * @param dispatchesPerTurn a priority class with queued requests gets at least one in this many dispatches
 * @param recheckInterval interval at which queued requests are checked without an event; the ends of ejections and of
 *     back-offs cause no event
 * @param shortestRetryAfter lower limit of the retry time in refusals
 * @param longestRetryAfter upper limit of the retry time in refusals
 */
public record DispatcherOptions(
        int queueLimit,
        int dispatchesPerTurn,
        Duration recheckInterval,
        Duration shortestRetryAfter,
        Duration longestRetryAfter) {
    /** Returns the default values. */
    public static DispatcherOptions defaults() {
        return new DispatcherOptions(256, 10, Duration.ofMillis(20), Duration.ofMillis(100), Duration.ofSeconds(30));
    }
}
