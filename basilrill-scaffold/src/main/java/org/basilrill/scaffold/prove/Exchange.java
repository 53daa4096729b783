package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * One request with its answer.
 *
 * @param status 0 if there was no complete answer
 * @param failure why there was no complete answer; empty if there was one
 */
record Exchange(Call call, String address, long sentNanos, long endedNanos, int status, String body, String failure) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * A request to be sent.
     *
     * @param key caller's or operator's key; empty sends none
     * @param deadline sent as X-Request-Timeout-Ms
     */
    record Call(
            String method, String path, String key, String body, Optional<String> idempotencyKey, Duration deadline) {}

    boolean answered() {
        return failure.isEmpty();
    }

    boolean ok() {
        return answered() && status == 200;
    }

    Duration duration() {
        return Duration.ofNanos(endedNanos - sentNanos);
    }

    /** Returns the code of a refusal or failure, in upper case; empty if there is none. */
    String code() {
        return json().path("error").path("code").asText("").toUpperCase(Locale.ROOT);
    }

    /** Returns the outcome that a refusal or failure states; empty if there is none. */
    String outcome() {
        return json().path("error").path("outcome").asText("");
    }

    JsonNode json() {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException exception) {
            return MissingNode.getInstance();
        }
    }

    /** Returns a description for a verdict. */
    String describe() {
        String seen = answered() ? status + " " + body.strip() : failure;
        String end = seen.length() > 200 ? seen.substring(seen.length() - 200) : seen;
        return call.method() + " " + call.path() + " at " + address + " after "
                + duration().toMillis() + " ms: " + end;
    }
}
