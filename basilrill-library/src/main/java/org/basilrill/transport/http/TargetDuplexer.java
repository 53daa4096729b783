package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.ContentEncoder;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * HTTP/1.1 protocol of one connection to a target, with flow control: no more of a response is read than its window
 * allows, and all bytes read are counted. Without this limit, a connection is read for as long as the target sends
 * faster than the caller reads: whole responses of 64 MB were buffered in memory while the caller read nothing. Used
 * only by the thread of the connection.
 */
final class TargetDuplexer extends ClientHttp1StreamDuplexer {
    private final Supplier<Optional<TargetExchange>> exchange;
    private final int maximumFields;
    /** Bytes of requests that the connection has not taken yet; present once a request had a body. */
    private Optional<SessionOutputBuffer> unwritten = Optional.empty();

    /**
     * Creates the protocol of a connection.
     *
     * @param exchange returns the current exchange of the connection
     */
    TargetDuplexer(
            ProtocolIOSession session,
            HttpProcessor processor,
            Http1Config config,
            Supplier<Optional<TargetExchange>> exchange) {
        super(
                session,
                processor,
                config,
                null,
                DefaultConnectionReuseStrategy.INSTANCE,
                new CountingParser(
                        session, MessageEnd.wholeHeads(new StrictResponseParser(config.getMaxHeaderCount())), exchange),
                DefaultHttpRequestWriterFactory.INSTANCE.create(),
                DefaultContentLengthStrategy.INSTANCE,
                DefaultContentLengthStrategy.INSTANCE,
                null);
        this.exchange = exchange;
        maximumFields = config.getMaxHeaderCount();
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
            throws HttpException {
        WindowChannel window = new WindowChannel(channel, exchange);
        if (length == ContentLengthStrategy.CHUNKED) {
            return new StrictChunkDecoder(window, buffer, metrics, maximumFields);
        }
        ContentDecoder decoder = super.createContentDecoder(length, window, buffer, metrics);
        return length == ContentLengthStrategy.UNDEFINED
                ? MessageEnd.afterWholeRequest(decoder, this::isRequestWritten)
                : decoder;
    }

    @Override
    protected ContentEncoder createContentEncoder(
            long length, WritableByteChannel channel, SessionOutputBuffer buffer, BasicHttpTransportMetrics metrics)
            throws HttpException {
        unwritten = Optional.of(buffer);
        return super.createContentEncoder(length, channel, buffer, metrics);
    }

    private boolean isRequestWritten() {
        return exchange.get().map(TargetExchange::isRequestSent).orElse(true)
                && unwritten.map(buffer -> !buffer.hasData()).orElse(true);
    }

    private static void count(Supplier<Optional<TargetExchange>> exchange, int bytes)
            throws MessageConstraintException {
        Optional<TargetExchange> current = exchange.get();
        if (bytes > 0 && current.isPresent()) {
            current.get().bytesRead(bytes);
        }
    }

    /**
     * Counts the bytes of heads and closes the connection after the first byte that belongs to no request. Without
     * this, part of a head that arrived between two requests stayed in the buffer, and its rest completed a response
     * to the next request.
     */
    private record CountingParser(
            ProtocolIOSession session,
            NHttpMessageParser<HttpResponse> parser,
            Supplier<Optional<TargetExchange>> exchange)
            implements NHttpMessageParser<HttpResponse> {
        @Override
        public void reset() {
            parser.reset();
        }

        @Override
        public HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
            int before = buffer.length();
            if (before > 0 && !exchange.get().map(TargetExchange::hasBegun).orElse(false)) {
                throw StrayBytes.receivedOn(session);
            }
            HttpResponse response = parser.parse(buffer, endOfStream);
            count(exchange, before - buffer.length());
            return response;
        }
    }

    /**
     * Counts the bytes of bodies, chunk sizes and trailers. Reads nothing while the window is closed; bytes that are
     * already buffered are still delivered.
     */
    private record WindowChannel(ReadableByteChannel channel, Supplier<Optional<TargetExchange>> exchange)
            implements ReadableByteChannel {
        @Override
        public int read(ByteBuffer target) throws IOException {
            boolean open = exchange.get().map(TargetExchange::isWindowOpen).orElse(true);
            int bytes = open ? channel.read(target) : 0;
            count(exchange, bytes);
            return bytes;
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
