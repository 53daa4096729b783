package org.basilrill.coordination.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Size and urgency of a request, as far as they are known. Immutable and thread safe.
 *
 * @param promptTokens tokens of the prompt; 0 if unknown
 * @param maximumOutputTokens maximum number of tokens of the output; 0 if unknown
 * @param latencyTarget time to the first event up to which a response has its full value for the caller
 * @param endNanos time by which the response must have ended, if its end counts
 */
public record RequestProfile(
        long promptTokens, long maximumOutputTokens, Optional<Duration> latencyTarget, OptionalLong endNanos) {
    /** Far above the memory of any engine; sums of such values do not overflow. Larger statements are reduced to it. */
    private static final long MAXIMUM_TOKENS = 1_000_000_000;

    private static final RequestProfile UNKNOWN = new RequestProfile(0, 0, Optional.empty(), OptionalLong.empty());

    public RequestProfile {
        promptTokens = Math.min(promptTokens, MAXIMUM_TOKENS);
        maximumOutputTokens = Math.min(maximumOutputTokens, MAXIMUM_TOKENS);
    }

    /** Returns the profile of a request of which nothing is known. */
    public static RequestProfile unknown() {
        return UNKNOWN;
    }

    /** Returns the profile of a request of known size. */
    public static RequestProfile ofTokens(long prompt, long maximumOutput) {
        return new RequestProfile(prompt, maximumOutput, Optional.empty(), OptionalLong.empty());
    }

    /** Returns the same profile with a time by which the response must have ended. */
    public RequestProfile endingAt(long nanos) {
        return new RequestProfile(promptTokens, maximumOutputTokens, latencyTarget, OptionalLong.of(nanos));
    }

    /** Returns the number of tokens that the request may occupy in the memory of an engine. */
    public long tokens() {
        return promptTokens + maximumOutputTokens;
    }
}
