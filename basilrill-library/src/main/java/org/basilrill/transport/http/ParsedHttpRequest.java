package org.basilrill.transport.http;

import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;

/**
 * A request head that the parser accepted, or the reason why the parser rejected it. Not thread safe.
 *
 * <p>A rejected head is represented by a placeholder request without a body, so that the error response is sent like
 * any other response.
 */
final class ParsedHttpRequest extends BasicHttpRequest {
    private static final long serialVersionUID = 1L;

    private final transient RequestHead head;
    private final transient BasilrillException rejection;

    private ParsedHttpRequest(String method, String path, RequestHead head, BasilrillException rejection) {
        super(method, path);
        this.head = head;
        this.rejection = rejection;
        setVersion(HttpVersion.HTTP_1_1);
    }

    static ParsedHttpRequest accepted(RequestHead head) {
        ParsedHttpRequest request = new ParsedHttpRequest(head.method(), head.path(), head, null);
        for (HeaderField field : head.headers()) {
            request.addHeader(field.name(), field.value());
        }
        return request;
    }

    static ParsedHttpRequest rejected(BasilrillException rejection) {
        RequestHead placeholder = new RequestHead("GET", "/", Optional.empty(), List.of());
        return new ParsedHttpRequest("GET", "/", placeholder, rejection);
    }

    RequestHead head() {
        return head;
    }

    Optional<BasilrillException> rejection() {
        return Optional.ofNullable(rejection);
    }
}
