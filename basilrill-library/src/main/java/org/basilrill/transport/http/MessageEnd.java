package org.basilrill.transport.http;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Where the parts of an HTTP message end: a head at its empty line, a chunked body as {@link StrictChunkDecoder} says.
 * The end of the connection ends neither, so a message that it cuts short fails. The HTTP library takes the end of the
 * connection as the end of a line and of a head: each prefix of an empty response that held its status and
 * {@code Content-Length: 0} was a whole one. Applies to all messages that are read, of targets, relays, instances and
 * callers.
 */
final class MessageEnd {
    private MessageEnd() {}

    /** Returns a parser whose heads end at their empty lines. */
    static <T extends MessageHeaders> NHttpMessageParser<T> wholeHeads(NHttpMessageParser<T> parser) {
        return new WholeHeadParser<>(parser);
    }

    /** Hides the end of the connection from a parser that could take it as the end of a line. */
    private record WholeHeadParser<T extends MessageHeaders>(NHttpMessageParser<T> parser)
            implements NHttpMessageParser<T> {
        @Override
        public void reset() {
            parser.reset();
        }

        @Override
        public T parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
            T head = parser.parse(buffer, endOfStream && !buffer.hasData());
            if (head == null && endOfStream && buffer.hasData()) {
                // The library would wait for the end of the line. Without such a line it ends the exchange itself.
                throw new ConnectionClosedException("the connection ended inside a head");
            }
            return head;
        }
    }
}
