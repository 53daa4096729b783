package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * HTTP/1.1 protocol of one connection of a caller, with strict parsing of request heads. A malformed chunk ends the
 * body instead of the connection, so that the caller receives an error response. Used only by the thread of the
 * connection.
 */
final class CallerDuplexer extends ServerHttp1StreamDuplexer {
    private final CallerConnection connection;
    private final int maximumTrailers;

    CallerDuplexer(
            ProtocolIOSession session,
            HttpProcessor processor,
            HandlerFactory<AsyncServerExchangeHandler> handlers,
            Http1Config config,
            GatewaySettings settings,
            CallerConnection connection) {
        super(
                session,
                processor,
                handlers,
                "http",
                config,
                null,
                null,
                MessageEnd.wholeHeads(new StrictRequestParser(settings.maximumHeadBytes(), connection)),
                DefaultHttpResponseWriterFactory.INSTANCE.create(),
                null,
                null,
                null,
                null);
        this.connection = connection;
        maximumTrailers = config.getMaxHeaderCount();
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
            throws HttpException {
        ContentDecoder decoder = length == ContentLengthStrategy.CHUNKED
                ? new StrictChunkDecoder(channel, buffer, metrics, maximumTrailers)
                : super.createContentDecoder(length, channel, buffer, metrics);
        return decoder == null ? null : new TolerantDecoder(decoder, connection);
    }

    /** Ends the body at the first malformed chunk and stops reading from the connection. */
    private static final class TolerantDecoder implements ContentDecoder {
        private final ContentDecoder decoder;
        private final CallerConnection connection;
        private boolean malformed;

        TolerantDecoder(ContentDecoder decoder, CallerConnection connection) {
            this.decoder = decoder;
            this.connection = connection;
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            if (malformed) {
                return -1;
            }
            try {
                return decoder.read(target);
            } catch (MalformedChunkCodingException | MessageConstraintException exception) {
                malformed = true;
                connection.stopReading();
                return -1;
            }
        }

        @Override
        public boolean isCompleted() {
            return malformed || decoder.isCompleted();
        }

        @Override
        public List<? extends Header> getTrailers() {
            return malformed ? null : decoder.getTrailers();
        }
    }
}
