package org.basilrill.protocol.instance;

import java.time.Duration;

/**
 * Time limits and sizes of the request path. Immutable and thread safe.
 *
 * @param defaultDeadline time to the first byte of the response if the caller states no deadline
 * @param maximumDeadline longest deadline that a caller may state
 * @param progressDeadline longest time without progress of a target, or of a caller that does not read
 * @param controlDeadline longest wait for the control log if no caller waits for the result
 * @param orderRetryDelay retry delay sent to callers whose order is already running
 * @param windowBytes bytes of a response that are buffered for a slow caller
 * @param maximumAttempts maximum number of attempts of one request
 */
public record RequestLimits(
        Duration defaultDeadline,
        Duration maximumDeadline,
        Duration progressDeadline,
        Duration controlDeadline,
        Duration orderRetryDelay,
        int windowBytes,
        int maximumAttempts) {
    /** Returns the default limits. */
    public static RequestLimits defaults() {
        return new RequestLimits(
                Duration.ofSeconds(30),
                Duration.ofMinutes(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(1),
                64 * 1024,
                4);
    }
}
