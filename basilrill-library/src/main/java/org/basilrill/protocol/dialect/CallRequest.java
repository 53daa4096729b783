package org.basilrill.protocol.dialect;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.protocol.caller.RequestHead;

/**
 * What the head of a caller's request says. Immutable and thread safe.
 *
 * @param requestId id under which the request is answered and sent on
 * @param host host name without a port, in lower case
 * @param key key the caller presents
 * @param timeLeft how long the caller waits for the answer
 * @param model model or adapter that is to answer
 * @param tokens size of the request, if it states one
 * @param promptParts parts of the prompt in order, shareable ones first
 */
public record CallRequest(
        RequestHead head,
        String requestId,
        String host,
        Optional<String> key,
        Optional<Duration> timeLeft,
        Optional<ModelId> model,
        Optional<TokenCounts> tokens,
        List<PromptPart> promptParts) {
    public CallRequest {
        promptParts = List.copyOf(promptParts);
    }

    /** Tokens of the prompt, and the most tokens of the answer. */
    public record TokenCounts(long prompt, long maximumAnswer) {
        /** Returns the tokens that the request may use. */
        public long total() {
            return prompt + maximumAnswer;
        }
    }

    /**
     * A part of a prompt that other requests may share.
     *
     * @param id the same for the same text
     */
    public record PromptPart(long id, long tokens) {}
}
