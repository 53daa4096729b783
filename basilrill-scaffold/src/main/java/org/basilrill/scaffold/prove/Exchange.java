package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * One request with its response.
 *
 * @param status HTTP status; 0 if there was no complete response
 * @param failure why there was no complete response; empty if there was one
 */
record Exchange(Call call, String address, long sentNanos, long endedNanos, int status, String body, String failure) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * A request to be sent.
     *
     * @param key key of the caller or operator; no key is sent if empty
     * @param deadline sent as X-Request-Timeout-Ms
     */
    record Call(
            String method, String path, String key, String body, Optional<String> idempotencyKey, Duration deadline) {}

    boolean hasResponse() {
        return failure.isEmpty();
    }

    boolean ok() {
        return hasResponse() && status == 200;
    }

    Duration duration() {
        return Duration.ofNanos(endedNanos - sentNanos);
    }

    /** Returns the error code of the response, in upper case; empty if there is none. */
    String errorCode() {
        return json().path("error").path("code").asText("").toUpperCase(Locale.ROOT);
    }

    /** Returns the outcome stated in an error response; empty if there is none. */
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

    /** Returns a description for messages; only the last 200 characters of a longer response are included. */
    String describe() {
        String seen = hasResponse() ? status + " " + body.strip() : failure;
        String end = seen.length() > 200 ? seen.substring(seen.length() - 200) : seen;
        return call.method() + " " + call.path() + " at " + address + " after "
                + duration().toMillis() + " ms: " + end;
    }
}
