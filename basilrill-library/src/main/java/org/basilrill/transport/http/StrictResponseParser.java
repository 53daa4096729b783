package org.basilrill.transport.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.basilrill.protocol.caller.HeaderField;

/**
 * Parses response heads, final and interim ones, and accepts only those that can be read in one way. A head with an
 * invalid line is an error: skipping or mending the line would deliver a body whose end nobody stated. Used only by the
 * thread of one connection.
 *
 * <p>Lines may end in a line feed alone, and the blank before an empty reason may be missing. A status of 600 or more
 * has no meaning that a caller could rely on and is an error.
 */
final class StrictResponseParser implements NHttpMessageParser<HttpResponse> {
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.([0-9]) ([1-5][0-9]{2})(?: (.*))?", Pattern.DOTALL);
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;

    private final int maximumFields;
    private final CharArrayBuffer line = new CharArrayBuffer(256);
    private final List<HeaderField> fields = new ArrayList<>();
    private BasicHttpResponse response;

    /** Creates a parser of heads with at most this many fields. */
    StrictResponseParser(int maximumFields) {
        this.maximumFields = maximumFields;
    }

    @Override
    public void reset() {
        response = null;
        fields.clear();
    }

    /**
     * Reads the lines that have arrived.
     *
     * @return the head once it is complete, null before
     * @throws ProtocolException if a line is invalid; names the rule that is broken
     * @throws MessageConstraintException if a line is too long or the head has too many fields
     */
    @Override
    public HttpResponse parse(SessionInputBuffer input, boolean endOfStream) throws IOException, ProtocolException {
        while (input.hasData()) {
            line.clear();
            if (!input.readLine(line, endOfStream)) {
                return null;
            }
            if (response == null) {
                response = parseStatusLine(line.toString());
            } else if (line.isEmpty()) {
                return head();
            } else {
                addField(MessageFields.parse(line.toString()));
            }
        }
        return null;
    }

    private static BasicHttpResponse parseStatusLine(String text) throws ProtocolException {
        Matcher matcher = STATUS_LINE.matcher(text);
        if (!matcher.matches() || !MessageFields.isText(text)) {
            throw new ProtocolException("the status line is not a version 1.x, a status from 100 to 599 and a reason");
        }
        BasicHttpResponse result = new BasicHttpResponse(Integer.parseInt(matcher.group(2)), matcher.group(3));
        result.setVersion(HttpVersion.get(1, Integer.parseInt(matcher.group(1))));
        return result;
    }

    private void addField(HeaderField field) throws MessageConstraintException {
        if (fields.size() == maximumFields) {
            throw new MessageConstraintException("the head has more than " + maximumFields + " fields");
        }
        fields.add(field);
    }

    private HttpResponse head() throws ProtocolException {
        MessageFields.requireOneBodyLength(fields);
        int status = response.getCode();
        boolean mayHaveBody = status >= FIRST_FINAL_STATUS && status != NO_CONTENT;
        if (!mayHaveBody && MessageFields.announceBody(fields)) {
            throw new ProtocolException("a response with the status " + status + " announces a body");
        }
        fields.forEach(field -> response.addHeader(field.name(), field.value()));
        return response;
    }
}
