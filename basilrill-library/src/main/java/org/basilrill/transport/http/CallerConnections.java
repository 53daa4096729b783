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
    private final Function<InetSocketAddress, CallerRequests> requestsAt;
    private final MonotonicClock clock;
    private final HttpProcessor processor =
            new DefaultHttpProcessor(new ResponseDate(), new ResponseContent(), new ResponseConnControl());
    private final HeldBodies bodies;
    private final Http1Config config;
    private final Map<String, CallerConnection> connections = new ConcurrentHashMap<>();
    private final CompletableFuture<Void> allClosed = new CompletableFuture<>();
    private volatile boolean closing;
    private volatile boolean leaving;

    /**
     * Creates an empty set of connections.
     *
     * @param requestsAt what happens to the requests at a local address
     */
    CallerConnections(
            GatewaySettings settings, Function<InetSocketAddress, CallerRequests> requestsAt, MonotonicClock clock) {
        this.settings = settings;
        this.requestsAt = requestsAt;
        this.clock = clock;
        this.bodies = new HeldBodies(settings.maximumHeldBytes());
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
        if (leaving) {
            connection.lastAnswers();
        }
        if (closing) {
            connection.closeWhenIdle();
        }
        CallerRequests requests = requestsAt.apply((InetSocketAddress) session.getLocalAddress());
        // Silence is judged by what the connection waits for, so the reactor's own limit stays off.
        session.setSocketTimeout(Timeout.DISABLED);
        return new ServerHttp1IOEventHandler(new CallerDuplexer(
                session,
                processor,
                (request, context) -> new CallerExchange(connection, requests, settings, bodies),
                config,
                settings,
                connection));
    }

    int size() {
        return connections.size();
    }

    void sweep() {
        connections.values().forEach(CallerConnection::sweep);
    }

    /** Makes the next answer on each connection its last one, now and on connections opened from now on. */
    void lastAnswers() {
        leaving = true;
        connections.values().forEach(CallerConnection::lastAnswers);
    }

    /** Closes idle connections now and the others after their answers; completes once all are closed. */
    CompletableFuture<Void> closeWhenIdle() {
        closing = true;
        connections.values().forEach(CallerConnection::closeWhenIdle);
        completeIfNone();
        return allClosed;
    }

    void closeAll() {
        connections.values().forEach(CallerConnection::close);
    }

    @Override
    public void connected(IOSession session) {
        // The handler factory has noted the connection.
    }

    @Override
    public void startTls(IOSession session) {
        // Callers connect without TLS.
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
        // Output is watched by the coordinator.
    }

    @Override
    public void timeout(IOSession session) {
        // The reactor's limit is off.
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        // The exchange on the connection is told.
    }

    @Override
    public void disconnected(IOSession session) {
        CallerConnection connection = connections.remove(session.getId());
        if (connection != null) {
            connection.releaseAll();
        }
        completeIfNone();
    }

    private void completeIfNone() {
        if (closing && connections.isEmpty()) {
            allClosed.complete(null);
        }
    }
}
