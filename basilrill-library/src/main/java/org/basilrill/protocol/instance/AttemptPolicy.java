package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.state.configuration.CallRoute;

/**
 * How often and for how long a request is tried. Immutable and thread safe.
 *
 * @param maximumAttempts targets that the request may be sent to
 * @param coversWholeAnswer whether the deadline is that of the complete answer, not of its first byte
 * @param repeatsServerErrors whether a target's own failure is worth another attempt
 * @param endsWithKey whether a request that a target already has ends when its key is withdrawn
 * @param confirmsLosses whether, after a lost connection, the next target gets the request only once the control log
 *     has told how many targets it has cost; otherwise the loss is looked into while the request goes on
 * @param patience how long callers wait for the answer to begin, where that is known
 * @param resumes whether another target can continue an answer that was cut
 */
record AttemptPolicy(
        int maximumAttempts,
        boolean coversWholeAnswer,
        boolean repeatsServerErrors,
        boolean endsWithKey,
        boolean confirmsLosses,
        Optional<Duration> patience,
        boolean resumes) {
    /** Callers of streams leave after about this many times the latency target. */
    private static final int PATIENCE_IN_LATENCY_TARGETS = 4;
    /** Callers of streams wait at least this long, whatever the latency target. */
    private static final Duration SHORTEST_PATIENCE = Duration.ofSeconds(2);

    /** Returns the policy of completions and service calls in the product's own interface. */
    static AttemptPolicy ofCompletions(int maximumAttempts) {
        return new AttemptPolicy(maximumAttempts, false, false, true, true, Optional.empty(), false);
    }

    /** Returns the policy of requests that a route allows. */
    static AttemptPolicy ofRoute(CallRoute route) {
        return new AttemptPolicy(
                Math.max(1, route.maximumAttempts()),
                true,
                route.kind() == CallRoute.Kind.SAFE,
                false,
                false,
                patienceOf(route),
                route.kind() == CallRoute.Kind.RESUMABLE_STREAM);
    }

    /** Callers of a stream leave when it does not begin; callers of other routes wait for as long as they said. */
    private static Optional<Duration> patienceOf(CallRoute route) {
        if (!route.kind().isStream()) {
            return Optional.empty();
        }
        Duration usual = route.latencyTarget().multipliedBy(PATIENCE_IN_LATENCY_TARGETS);
        return Optional.of(usual.compareTo(SHORTEST_PATIENCE) > 0 ? usual : SHORTEST_PATIENCE);
    }
}
