package org.basilrill.protocol.instance;

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
 * @param resumes whether another target can continue an answer that was cut
 */
record AttemptPolicy(
        int maximumAttempts,
        boolean coversWholeAnswer,
        boolean repeatsServerErrors,
        boolean endsWithKey,
        boolean confirmsLosses,
        boolean resumes) {
    /** Returns the policy of completions and service calls in the product's own interface. */
    static AttemptPolicy ofCompletions(int maximumAttempts) {
        return new AttemptPolicy(maximumAttempts, false, false, true, true, false);
    }

    /** Returns the policy of requests that a route allows. */
    static AttemptPolicy ofRoute(CallRoute route) {
        return new AttemptPolicy(
                Math.max(1, route.maximumAttempts()),
                true,
                route.kind() == CallRoute.Kind.SAFE,
                false,
                false,
                route.kind() == CallRoute.Kind.RESUMABLE_STREAM);
    }
}
