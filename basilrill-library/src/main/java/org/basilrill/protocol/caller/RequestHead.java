package org.basilrill.protocol.caller;

import java.util.List;
import java.util.Optional;

/**
 * The request line and the header fields of a caller's request. Immutable and thread safe.
 *
 * @param path absolute path, still percent-encoded, without the query
 * @param query text after the question mark, still percent-encoded
 */
public record RequestHead(String method, String path, Optional<String> query, List<HeaderField> headers) {
    public static final String AUTHORIZATION = "authorization";
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    public static final String REQUEST_ID = "x-request-id";
    public static final String REQUEST_TIMEOUT = "x-request-timeout-ms";
    public static final String TRACE_PARENT = "traceparent";

    private static final String BEARER = "bearer ";

    public RequestHead {
        headers = List.copyOf(headers);
    }

    /** Returns the value of the first header field with this name, ignoring case. */
    public Optional<String> header(String name) {
        return HeaderField.first(headers, name);
    }

    /** Returns the key presented in the authorization field under the scheme {@code Bearer}, if there is one. */
    public Optional<String> key() {
        return header(AUTHORIZATION)
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> value.substring(BEARER.length()).trim())
                .filter(key -> !key.isEmpty());
    }
}
