package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.state.configuration.CallRoute;

/**
 * How often and for how long a request is attempted. Immutable and thread safe.
 *
 * @param maximumAttempts maximum number of attempts at targets
 * @param deadlineCoversWholeResponse whether the deadline applies to the complete response instead of its first byte
 * @param retriesServerErrors whether a server error (5xx) of a target is retried
 * @param endsOnKeyWithdrawal whether a request that was sent to a target is cancelled when its key is withdrawn
 * @param confirmsLossBeforeRetry whether, after a lost connection, the request is sent to another target only once the
 *     control log has reported how many targets the request has crashed; otherwise the loss is checked concurrently
 * @param callerTimeout how long callers wait for the response to start, if that is known
 * @param resumesStreams whether another target can resume a response that was cut
 * @param longestStream longest time for which a caller may wait for a stream, with all its requests
 */
record AttemptPolicy(
        int maximumAttempts,
        boolean deadlineCoversWholeResponse,
        boolean retriesServerErrors,
        boolean endsOnKeyWithdrawal,
        boolean confirmsLossBeforeRetry,
        Optional<Duration> callerTimeout,
        boolean resumesStreams,
        Duration longestStream) {
    /** Callers of streams disconnect after about this many times the latency target. */
    private static final int CALLER_TIMEOUT_IN_LATENCY_TARGETS = 4;
    /** Callers of streams wait at least this long, independent of the latency target. */
    private static final Duration MINIMUM_CALLER_TIMEOUT = Duration.ofSeconds(2);

    /** A caller resumes a stream a few times, each within the timeout of the route. */
    private static final int STREAM_REQUESTS = 4;

    /** Returns the policy of completions and service calls in the native API. */
    static AttemptPolicy ofCompletions(int maximumAttempts) {
        return new AttemptPolicy(maximumAttempts, false, false, true, true, Optional.empty(), false, Duration.ZERO);
    }

    /** Returns the policy of the requests of a route. */
    static AttemptPolicy ofRoute(CallRoute route) {
        return new AttemptPolicy(
                Math.max(1, route.maximumAttempts()),
                true,
                route.kind() == CallRoute.Kind.SAFE,
                false,
                false,
                callerTimeoutOf(route),
                route.kind() == CallRoute.Kind.RESUMABLE_STREAM,
                route.timeout().multipliedBy(STREAM_REQUESTS));
    }

    /** Callers disconnect from a stream that does not start; callers of other routes wait until their own deadline. */
    private static Optional<Duration> callerTimeoutOf(CallRoute route) {
        if (!route.kind().isStream()) {
            return Optional.empty();
        }
        Duration scaledTarget = route.latencyTarget().multipliedBy(CALLER_TIMEOUT_IN_LATENCY_TARGETS);
        return Optional.of(scaledTarget.compareTo(MINIMUM_CALLER_TIMEOUT) > 0 ? scaledTarget : MINIMUM_CALLER_TIMEOUT);
    }
}
