package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * HTTP/1.1 protocol of one connection to a target, with flow control: no more of a response is read than its window
 * allows. Without this limit, a connection is read for as long as the target sends faster than the caller reads: whole
 * responses of 64 MB were buffered in memory while the caller read nothing. Used only by the thread of the connection.
 */
final class TargetDuplexer extends ClientHttp1StreamDuplexer {
    private final BooleanSupplier windowOpen;

    /**
     * Creates the protocol of a connection.
     *
     * @param windowOpen whether more of the current response may be read
     */
    TargetDuplexer(ProtocolIOSession session, HttpProcessor processor, Http1Config config, BooleanSupplier windowOpen) {
        super(
                session,
                processor,
                config,
                null,
                DefaultConnectionReuseStrategy.INSTANCE,
                new DefaultHttpResponseParserFactory(config).create(),
                DefaultHttpRequestWriterFactory.INSTANCE.create(),
                DefaultContentLengthStrategy.INSTANCE,
                DefaultContentLengthStrategy.INSTANCE,
                null);
        this.windowOpen = windowOpen;
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
            throws HttpException {
        return super.createContentDecoder(length, new WindowChannel(channel, windowOpen), buffer, metrics);
    }

    /** Reads nothing while the window is closed. Bytes that are already buffered are still delivered. */
    private record WindowChannel(ReadableByteChannel channel, BooleanSupplier windowOpen)
            implements ReadableByteChannel {
        @Override
        public int read(ByteBuffer target) throws IOException {
            return windowOpen.getAsBoolean() ? channel.read(target) : 0;
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
