package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.TruncatedChunkException;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Where the parts of an HTTP message end: a head at its empty line, a chunked body at the empty line after its last
 * chunk and trailers. The end of the connection ends neither, so a message that it cuts short fails. The HTTP library
 * takes the end of the connection as the end of a line, of a head and of a chunked body: each prefix of an empty
 * response that held its status and {@code Content-Length: 0} was a whole one. Applies to all messages that are read,
 * of targets, relays, instances and callers.
 */
final class MessageEnd {
    private MessageEnd() {}

    /** Returns a parser whose heads end at their empty lines. */
    static <T extends MessageHeaders> NHttpMessageParser<T> wholeHeads(NHttpMessageParser<T> parser) {
        return new WholeHeadParser<>(parser);
    }

    /**
     * Returns a decoder whose chunked body ends at its last empty line.
     *
     * @param channel provides the bytes that are not buffered yet
     * @param factory creates the decoder of the library for the channel that it receives
     */
    static ContentDecoder wholeChunks(ReadableByteChannel channel, DecoderFactory factory) throws HttpException {
        EndlessChannel endless = new EndlessChannel(channel);
        return new WholeChunksDecoder(factory.create(endless), endless);
    }

    /** Creates the decoder of a body. */
    @FunctionalInterface
    interface DecoderFactory {
        /** Creates a decoder that reads from the channel. */
        ContentDecoder create(ReadableByteChannel channel) throws HttpException;
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

    /** Fails once the connection has ended and what was read before holds no end of the body. */
    private record WholeChunksDecoder(ContentDecoder decoder, EndlessChannel channel) implements ContentDecoder {
        @Override
        public int read(ByteBuffer target) throws IOException {
            int bytes = decoder.read(target);
            if (bytes <= 0 && channel.ended && !decoder.isCompleted()) {
                throw new TruncatedChunkException("the connection ended inside a chunked body");
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

    /** Hides the end of the connection from the decoder of the library. */
    private static final class EndlessChannel implements ReadableByteChannel {
        private final ReadableByteChannel channel;
        private boolean ended;

        EndlessChannel(ReadableByteChannel channel) {
            this.channel = channel;
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            int bytes = channel.read(target);
            ended |= bytes < 0;
            return Math.max(bytes, 0);
        }

        @Override
        public boolean isOpen() {
            return channel.isOpen();
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
