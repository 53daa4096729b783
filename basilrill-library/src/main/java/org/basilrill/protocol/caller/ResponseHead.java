package org.basilrill.protocol.caller;

import java.util.List;
import java.util.Optional;

/** The status and the header fields of a response. Immutable and thread safe. */
public record ResponseHead(int status, List<HeaderField> headers) {
    public static final String CONTENT_TYPE = "content-type";
    public static final String CONTENT_LENGTH = "content-length";
    public static final String EVENT_STREAM = "text/event-stream";
    /** Requests per second that a target accepts from all instances together, a decimal number. */
    public static final String REQUEST_RATE_LIMIT = "x-request-rate-limit";

    public ResponseHead {
        headers = List.copyOf(headers);
    }

    /** Returns the value of the first header field with this name, ignoring case. */
    public Optional<String> header(String name) {
        return HeaderField.first(headers, name);
    }

    /** Returns whether the body is a stream of server-sent events. */
    public boolean isEventStream() {
        return header(CONTENT_TYPE)
                .filter(type -> type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length()))
                .isPresent();
    }
}
