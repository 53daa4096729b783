package org.basilrill.transport.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.protocol.DefaultHttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.ResponseConnControl;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.http.protocol.ResponseDate;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.basilrill.api.MonotonicClock;

/** The connections of all callers. Thread safe. */
final class CallerConnections implements IOEventHandlerFactory, IOSessionListener {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAXIMUM_TRAILERS = 100;

    private final GatewaySettings settings;
    private final Function<InetSocketAddress, GatewayRequestHandler> handlerByAddress;
    private final MonotonicClock clock;
    private final HttpProcessor processor =
            new DefaultHttpProcessor(new ResponseDate(), new ResponseContent(), new ResponseConnControl());
    private final BodyMemoryLimiter bodyMemory;
    private final Http1Config config;
    private final Map<String, CallerConnection> connections = new ConcurrentHashMap<>();
    private final CompletableFuture<Void> allClosed = new CompletableFuture<>();
    private volatile boolean closing;
    private volatile boolean closesAfterResponses;

    /**
     * Creates an empty set of connections.
     *
     * @param handlerByAddress returns the handler of the requests to a local address
     */
    CallerConnections(
            GatewaySettings settings,
            Function<InetSocketAddress, GatewayRequestHandler> handlerByAddress,
            MonotonicClock clock) {
        this.settings = settings;
        this.handlerByAddress = handlerByAddress;
        this.clock = clock;
        this.bodyMemory = new BodyMemoryLimiter(settings.maximumBufferedBytes());
        config = Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setMaxLineLength(settings.maximumHeadBytes())
                .setMaxHeaderCount(MAXIMUM_TRAILERS)
                .build();
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        CallerConnection connection = new CallerConnection(session, clock, settings);
        connections.put(session.getId(), connection);
        if (closesAfterResponses) {
            connection.closeAfterResponses();
        }
        if (closing) {
            connection.closeWhenIdle();
        }
        GatewayRequestHandler requestHandler = handlerByAddress.apply((InetSocketAddress) session.getLocalAddress());
        // The timeout depends on the state of the connection, so that of the reactor is disabled.
        session.setSocketTimeout(Timeout.DISABLED);
        return new ServerHttp1IOEventHandler(new CallerDuplexer(
                session,
                processor,
                (request, context) -> new CallerExchange(connection, requestHandler, settings, bodyMemory),
                config,
                settings,
                connection));
    }

    int size() {
        return connections.size();
    }

    void closeTimedOut() {
        connections.values().forEach(CallerConnection::closeIfTimedOut);
    }

    /** Closes each connection after its next response; applies to present and future connections. */
    void closeAfterResponses() {
        closesAfterResponses = true;
        connections.values().forEach(CallerConnection::closeAfterResponses);
    }

    /** Closes idle connections now and the others after their responses; completes once all are closed. */
    CompletableFuture<Void> closeWhenIdle() {
        closing = true;
        connections.values().forEach(CallerConnection::closeWhenIdle);
        completeIfAllClosed();
        return allClosed;
    }

    void closeAll() {
        connections.values().forEach(CallerConnection::close);
    }

    @Override
    public void connected(IOSession session) {
        // createHandler has registered the connection.
    }

    @Override
    public void startTls(IOSession session) {
        // TLS is not supported.
    }

    @Override
    public void inputReady(IOSession session) {
        CallerConnection connection = connections.get(session.getId());
        if (connection != null) {
            connection.inputArrived();
        }
    }

    @Override
    public void outputReady(IOSession session) {
        // The coordinator monitors the progress of output.
    }

    @Override
    public void timeout(IOSession session) {
        // The timeout of the reactor is disabled.
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        // The exchange on the connection is notified of the failure.
    }

    @Override
    public void disconnected(IOSession session) {
        CallerConnection connection = connections.remove(session.getId());
        if (connection != null) {
            connection.releaseExchanges();
        }
        completeIfAllClosed();
    }

    private void completeIfAllClosed() {
        if (closing && connections.isEmpty()) {
            allClosed.complete(null);
        }
    }
}
