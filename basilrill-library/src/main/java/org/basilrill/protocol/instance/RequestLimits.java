package org.basilrill.protocol.instance;

import java.time.Duration;

/**
 * Time limits and sizes of the request path. Immutable and thread safe.
 *
 * @param defaultDeadline time to the first byte of an answer if the caller states none
 * @param maximumDeadline longest time a caller may state
 * @param progressDeadline longest silence of a target, and of a caller that does not read
 * @param controlDeadline longest wait for the control log where no caller waits
 * @param orderRetryDelay when an order that runs elsewhere is worth asking for again
 * @param windowBytes bytes of an answer that are held for a caller that reads slowly
 * @param maximumAttempts targets tried for one request
 */
public record RequestLimits(
        Duration defaultDeadline,
        Duration maximumDeadline,
        Duration progressDeadline,
        Duration controlDeadline,
        Duration orderRetryDelay,
        int windowBytes,
        int maximumAttempts) {
    /** Returns the limits in force unless the settings state others. */
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
