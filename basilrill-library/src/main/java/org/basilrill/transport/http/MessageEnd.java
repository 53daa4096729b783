package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Where the parts of an HTTP message end: a head at its empty line, a chunked body as {@link StrictChunkDecoder} says.
 * The end of the connection ends neither, so a message that it cuts short fails. The HTTP library takes the end of the
 * connection as the end of a line and of a head: each prefix of an empty response that held its status and
 * {@code Content-Length: 0} was a whole one. Applies to all messages that are read, of targets, relays, instances and
 * callers.
 *
 * <p>A body without a length ends with its connection, but only after the whole request was written: a write that fails
 * takes the error of the connection with it, so that the next read reports a clean end after a reset.
 */
final class MessageEnd {
    private MessageEnd() {}

    /** Returns a parser whose heads end at their empty lines. */
    static <T extends MessageHeaders> NHttpMessageParser<T> wholeHeads(NHttpMessageParser<T> parser) {
        return new WholeHeadParser<>(parser);
    }

    /**
     * Returns a decoder whose body ends with its connection only if the request has been written by then.
     *
     * @param decoder reads a body without a length
     * @param requestWritten whether all of the request was given to the connection
     */
    static ContentDecoder afterWholeRequest(ContentDecoder decoder, BooleanSupplier requestWritten) {
        return new AfterWholeRequestDecoder(decoder, requestWritten);
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

    /** Fails if the connection ends before the request was written. */
    private record AfterWholeRequestDecoder(ContentDecoder decoder, BooleanSupplier requestWritten)
            implements ContentDecoder {
        @Override
        public int read(ByteBuffer target) throws IOException {
            int bytes = decoder.read(target);
            if (decoder.isCompleted() && !requestWritten.getAsBoolean()) {
                throw new ConnectionClosedException("the connection ended before the whole request was sent");
            }
            return bytes;
        }

        @Override
        public boolean isCompleted() {
            return decoder.isCompleted();
        }

        @Override
        public List<? extends Header> getTrailers() {
            return decoder.getTrailers();
        }
    }
}
