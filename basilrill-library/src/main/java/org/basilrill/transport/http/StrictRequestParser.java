package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;

/**
 * Parses request heads and accepts only unambiguous ones, which prevents request smuggling. After a rejected head, all
 * further input of the connection is discarded. Used only by the thread of one connection.
 */
final class StrictRequestParser implements NHttpMessageParser<HttpRequest> {
    private static final Pattern REQUEST_LINE =
            Pattern.compile("([A-Z]{1,16}) (/[\\x21-\\x7e&&[^#?]]*)(\\?[\\x21-\\x7e&&[^#]]*)? HTTP/1\\.1");
    private static final int MAXIMUM_HEADER_FIELDS = 100;

    private final int maximumHeadBytes;
    private final CallerConnection connection;
    private final CharArrayBuffer line = new CharArrayBuffer(256);
    private Optional<Matcher> requestLine = Optional.empty();
    private List<HeaderField> headers = new ArrayList<>();
    private int headBytes;
    private boolean rejected;

    StrictRequestParser(int maximumHeadBytes, CallerConnection connection) {
        this.maximumHeadBytes = maximumHeadBytes;
        this.connection = connection;
    }

    @Override
    public void reset() {
        requestLine = Optional.empty();
        headers = new ArrayList<>();
        headBytes = 0;
    }

    @Override
    public HttpRequest parse(SessionInputBuffer input, boolean endOfStream) throws IOException {
        if (endOfStream && !input.hasData()) {
            connection.inputEnded();
            return null;
        }
        if (rejected || connection.readingStopped()) {
            discard(input);
            return null;
        }
        try {
            return parseLines(input, endOfStream);
        } catch (MessageConstraintException exception) {
            return reject(tooLarge());
        } catch (ProtocolException exception) {
            return reject(new BasilrillException(ErrorCode.MALFORMED_REQUEST, exception.getMessage()));
        } catch (BasilrillException rejection) {
            return reject(rejection);
        }
    }

    private HttpRequest parseLines(SessionInputBuffer input, boolean endOfStream)
            throws IOException, ProtocolException {
        while (input.hasData()) {
            connection.headStarted();
            int lengthBefore = input.length();
            line.clear();
            boolean complete = input.readLine(line, endOfStream);
            headBytes += lengthBefore - input.length();
            if (headBytes + (complete ? 0 : input.length()) > maximumHeadBytes) {
                throw tooLarge();
            }
            if (!complete) {
                return null;
            }
            if (line.isEmpty() && requestLine.isPresent()) {
                ParsedHttpRequest request = ParsedHttpRequest.accepted(head());
                connection.headCompleted();
                return request;
            }
            readLine(line.toString());
        }
        return null;
    }

    /** Parses a line of the head. Skips empty lines before a request, as some callers send one after a body. */
    private void readLine(String text) throws ProtocolException {
        if (requestLine.isEmpty()) {
            if (!text.isEmpty()) {
                Matcher matcher = REQUEST_LINE.matcher(text);
                require(matcher.matches(), "the request line does not have a method, an absolute path and HTTP/1.1");
                requestLine = Optional.of(matcher);
            }
            return;
        }
        headers.add(MessageFields.parse(text));
        if (headers.size() > MAXIMUM_HEADER_FIELDS) {
            throw tooLarge();
        }
    }

    private RequestHead head() throws ProtocolException {
        Matcher first = requestLine.orElseThrow();
        Optional<String> query = Optional.ofNullable(first.group(3)).map(text -> text.substring(1));
        RequestHead head = new RequestHead(first.group(1), first.group(2), query, headers);
        requireOneHost(head);
        MessageFields.requireOneBodyLength(headers);
        require(count(head, "upgrade") == 0, "Upgrade is not supported");
        if (head.method().equals("CONNECT") || head.method().equals("TRACE")) {
            throw new BasilrillException(ErrorCode.METHOD_NOT_ALLOWED, head.method() + " is not supported");
        }
        return head;
    }

    private static void requireOneHost(RequestHead head) {
        require(count(head, "host") == 1, "exactly one Host is required");
    }

    private static int count(RequestHead head, String name) {
        return (int) head.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .count();
    }

    private HttpRequest reject(BasilrillException rejection) {
        rejected = true;
        connection.headCompleted();
        return ParsedHttpRequest.rejected(rejection);
    }

    private BasilrillException tooLarge() {
        return new BasilrillException(
                ErrorCode.HEADERS_TOO_LARGE,
                "the request line and the header fields exceed " + maximumHeadBytes + " bytes");
    }

    private static void discard(SessionInputBuffer input) {
        ByteBuffer discarded = ByteBuffer.allocate(1024);
        while (input.hasData()) {
            discarded.clear();
            input.read(discarded);
        }
    }

    private static void require(boolean condition, String detail) {
        if (!condition) {
            throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, detail);
        }
    }
}
