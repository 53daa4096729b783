package org.basilrill.protocol.caller;

import java.util.ArrayList;
import java.util.List;

/** Selects the header fields that are forwarded between callers and targets. Stateless and thread safe. */
public final class ForwardedHeaders {
    private static final List<String> FROM_CALLER = List.of("content-type", "accept");

    /**
     * Fields of a target's response that are forwarded to the caller. Framing and connection fields are created anew.
     */
    private static final List<String> FROM_TARGET = List.of(
            "content-type",
            "cache-control",
            "content-language",
            "content-disposition",
            "etag",
            "last-modified",
            "location",
            "retry-after",
            RequestHead.REQUEST_ID);

    private ForwardedHeaders() {}

    /**
     * Returns the fields for a target: the allowed fields of the caller that reveal no key, the request id and the
     * trace fields.
     *
     * @param traceFields fields that propagate the trace context
     */
    public static List<HeaderField> toTarget(
            RequestHead head, String requestId, List<HeaderField> traceFields, KeyGuard guard) {
        List<HeaderField> fields = new ArrayList<>();
        for (String name : FROM_CALLER) {
            head.header(name)
                    .filter(value -> !guard.reveals(value))
                    .ifPresent(value -> fields.add(new HeaderField(name, value)));
        }
        fields.add(new HeaderField(RequestHead.REQUEST_ID, requestId));
        fields.addAll(traceFields);
        return fields;
    }

    /** Returns the fields of a target's response that are forwarded to the caller. */
    public static List<HeaderField> toCaller(List<HeaderField> response) {
        return response.stream()
                .filter(field -> FROM_TARGET.stream().anyMatch(name -> name.equalsIgnoreCase(field.name())))
                .toList();
    }
}
