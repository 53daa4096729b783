package org.basilrill.protocol.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** A short response held completely in memory. Immutable; the body must not be modified. */
public record PlainAnswer(int status, String contentType, List<HeaderField> headers, byte[] body) {
    public static final String JSON = "application/json";
    public static final String TEXT = "text/plain; charset=utf-8";

    public PlainAnswer {
        headers = List.copyOf(headers);
    }

    /** Returns a response without extra header fields. */
    public static PlainAnswer of(int status, String contentType, byte[] body) {
        return new PlainAnswer(status, contentType, List.of(), body);
    }

    /** Returns a JSON response. */
    public static PlainAnswer json(int status, String text) {
        return of(status, JSON, text.getBytes(StandardCharsets.UTF_8));
    }
}
