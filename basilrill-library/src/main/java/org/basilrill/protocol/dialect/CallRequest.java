package org.basilrill.protocol.dialect;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.protocol.caller.RequestHead;

/**
 * The information in the head of a caller's request. Immutable and thread safe.
 *
 * @param requestId id of the request in messages to the target and to the caller
 * @param host host name without a port, in lower case
 * @param key key presented by the caller
 * @param remainingTime how long the caller waits for the response
 * @param model model or adapter that the request is for
 * @param tokens size of the request in tokens, if the head states it
 * @param promptParts parts of the prompt in order; those that other requests may share come first
 * @param resumption the stream that the request resumes, if it does
 */
public record CallRequest(
        RequestHead head,
        String requestId,
        String host,
        Optional<String> key,
        Optional<Duration> remainingTime,
        Optional<ModelId> model,
        Optional<TokenCounts> tokens,
        List<PromptPart> promptParts,
        Optional<StreamResumption> resumption) {
    public CallRequest {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * A stream that a caller resumes with a new request after its connection was lost.
     *
     * @param lastEventId id of the last event that the caller received
     * @param firstRequestId id of the request whose response contained the first event, if the caller states it
     */
    public record StreamResumption(String lastEventId, Optional<String> firstRequestId) {}

    /** Number of tokens of the prompt, and maximum number of tokens of the output. */
    public record TokenCounts(long prompt, long maximumOutput) {
        /** Returns the maximum number of tokens that the request may use. */
        public long total() {
            return prompt + maximumOutput;
        }
    }

    /**
     * A part of a prompt that other requests may share.
     *
     * @param id identifies the text; equal texts have equal ids
     */
    public record PromptPart(long id, long tokens) {}
}
