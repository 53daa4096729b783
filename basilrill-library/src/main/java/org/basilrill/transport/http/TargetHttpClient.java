package org.basilrill.transport.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequester;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.http.protocol.DefaultHttpProcessor;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.relay.RelayClient;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * HTTP/1.1 client for requests to targets, with one request at a time on each connection. An idle connection is reused
 * only within a few seconds. Thread safe.
 *
 * <p>A target may answer a request twice, the second time late. Four rules keep such an answer from other requests:
 *
 * <ul>
 *   <li>A connection is closed after the first byte that belongs to no request in flight, and when its exchange did not
 *       end cleanly or had the response to another request.
 *   <li>A response consists of bytes that were received after its request began to be written, on a connection that was
 *       clean immediately before.
 *   <li>No request goes over a connection that has carried its id, as a retry has the id of the first attempt; and each
 *       connection serves one {@link ConnectionPurpose}.
 *   <li>A response without an id is invalid on a connection whose target has echoed one.
 * </ul>
 */
public final class TargetHttpClient implements TargetConnector, RelayClient, AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

    private static final int MAXIMUM_HEADERS = 64;
    /**
     * Bounds the bytes of a request that the kernel holds. They count as sent, so that a response without a length may
     * end unnoticed before its target has received them.
     */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    /**
     * Connections open in a few milliseconds. A later one is not waited for, so that another instance can carry the
     * exchange while its caller still waits.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    /** Connections are closed this long before the target would close them, so that no request is lost. */
    private static final Duration REUSE_MARGIN = Duration.ofMillis(500);

    private final Settings settings;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final AsyncRequester requester;
    private final Map<Pool, Deque<IdleConnection>> idleConnections = new ConcurrentHashMap<>();
    /** Exchanges by the identifiers of their connections. */
    private final Map<String, TargetExchange> exchanges = new ConcurrentHashMap<>();

    private final ResponseMemory memory;
    private volatile boolean closed;

    public TargetHttpClient(Settings settings, MonotonicClock clock, Scheduler scheduler) {
        this(settings, clock, scheduler, ResponseMemory.forHeap());
    }

    TargetHttpClient(Settings settings, MonotonicClock clock, Scheduler scheduler, ResponseMemory memory) {
        this.memory = memory;
        this.settings = settings;
        this.clock = clock;
        this.scheduler = scheduler;
        Http1Config http = Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setInitialWindowSize(settings.windowBytes())
                .setMaxLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderCount(MAXIMUM_HEADERS)
                .build();
        IOReactorConfig reactor = KeepAliveProbes.enable(IOReactorConfig.custom())
                .setIoThreadCount(settings.ioThreads())
                .setTcpNoDelay(true)
                .setSndBufSize(SEND_BUFFER_BYTES)
                .build();
        HttpProcessor processor = new DefaultHttpProcessor(new RequestTargetHost(), new RequestContent());
        IOEventHandlerFactory handlerFactory = (session, attachment) -> {
            Supplier<Optional<TargetExchange>> exchange = () -> Optional.ofNullable(exchanges.get(session.getId()));
            return new TargetEventHandler(
                    new TargetDuplexer(session, processor, http, exchange),
                    () -> exchange.get().filter(TargetExchange::awaitsResponse).isPresent());
        };
        requester = new AsyncRequester(handlerFactory, reactor, null, null, null, null, null);
        requester.start();
    }

    /**
     * Settings of the client.
     *
     * @param windowBytes bytes of a response that are read before the caller has read any; the same as in
     *     the request limits
     * @param maximumIdleTime longest idle time after which a connection is reused
     */
    public record Settings(int ioThreads, Duration connectTimeout, Duration maximumIdleTime, int windowBytes) {
        /** Returns the default settings with the given window. */
        public static Settings defaults(int windowBytes) {
            return new Settings(2, CONNECT_TIMEOUT, Duration.ofSeconds(5), windowBytes);
        }
    }

    @Override
    public Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
        HttpHost host = new HttpHost("http", target.host(), target.port());
        return open(new Pool(host, ConnectionPurpose.REQUESTS), request, freshConnection, listener);
    }

    @Override
    public CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target) {
        HttpHost host = new HttpHost("http", target.host(), target.port());
        CompletableFuture<Boolean> accepted = new CompletableFuture<>();
        requester.requestSession(host, Timeout.of(settings.connectTimeout()), null, new FutureCallback<IOSession>() {
            @Override
            public void completed(IOSession session) {
                session.close(CloseMode.GRACEFUL);
                accepted.complete(true);
            }

            @Override
            public void failed(Exception problem) {
                accepted.complete(false);
            }

            @Override
            public void cancelled() {
                accepted.complete(false);
            }
        });
        return accepted;
    }

    @Override
    public Call open(String relayAddress, Request request, boolean freshConnection, Listener listener) {
        int separator = relayAddress.lastIndexOf(':');
        HttpHost host = new HttpHost(
                "http", relayAddress.substring(0, separator), Integer.parseInt(relayAddress.substring(separator + 1)));
        return open(new Pool(host, ConnectionPurpose.RELAY), request, freshConnection, listener);
    }

    @Override
    public void discardIdleConnections(TargetAnnouncement target) {
        HttpHost host = new HttpHost("http", target.host(), target.port());
        for (ConnectionPurpose purpose : ConnectionPurpose.values()) {
            discardIdleConnections(new Pool(host, purpose));
        }
    }

    private void discardIdleConnections(Pool pool) {
        Deque<IdleConnection> connections = idleConnections.get(pool);
        if (connections == null) {
            return;
        }
        synchronized (connections) {
            connections.forEach(idle -> idle.session().close(CloseMode.IMMEDIATE));
            connections.clear();
        }
    }

    /** Sends a request to an address, which need not be that of an announced target. */
    Call open(HttpHost host, ConnectionPurpose purpose, Request request, Listener listener) {
        return open(new Pool(host, purpose), request, !purpose.isReused(), listener);
    }

    private Call open(Pool pool, Request request, boolean freshConnection, Listener listener) {
        TargetExchange exchange =
                new TargetExchange(pool.host(), request, listener, settings.windowBytes(), memory, new Owner(pool));
        Optional<IdleConnection> idle = freshConnection ? Optional.empty() : takeIdleConnection(pool, request);
        if (idle.isPresent()) {
            execute(exchange, idle.get().session(), idle.get().history());
            return exchange;
        }
        Timeout timeout = Timeout.of(settings.connectTimeout());
        requester.requestSession(pool.host(), timeout, null, new FutureCallback<IOSession>() {
            @Override
            public void completed(IOSession session) {
                execute(exchange, session, new ConnectionHistory(pool.purpose()));
            }

            @Override
            public void failed(Exception problem) {
                exchange.connectionFailed(problem);
            }

            @Override
            public void cancelled() {
                exchange.connectionFailed(new IllegalStateException("the client is closed"));
            }
        });
        return exchange;
    }

    /** Returns the bytes of responses that are held in memory, in all exchanges. */
    public long heldResponseBytes() {
        return memory.heldBytes();
    }

    /** Returns the number of idle connections. */
    int idleConnectionCount() {
        int count = 0;
        for (Deque<IdleConnection> connections : idleConnections.values()) {
            synchronized (connections) {
                count += connections.size();
            }
        }
        return count;
    }

    @Override
    public void close() {
        closed = true;
        requester.close(CloseMode.IMMEDIATE);
    }

    private void execute(TargetExchange exchange, IOSession session, ConnectionHistory history) {
        exchanges.put(session.getId(), exchange);
        if (!exchange.attach(session, history)) {
            exchanges.remove(session.getId(), exchange);
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        // The coordinator detects unresponsive targets; it knows when the caller is the one that does not read.
        session.setSocketTimeout(Timeout.DISABLED);
        session.enqueue(new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    private Optional<IdleConnection> takeIdleConnection(Pool pool, Request request) {
        Deque<IdleConnection> connections = idleConnections.get(pool);
        if (connections == null) {
            return Optional.empty();
        }
        synchronized (connections) {
            Iterator<IdleConnection> candidates = connections.iterator();
            while (candidates.hasNext()) {
                IdleConnection candidate = candidates.next();
                boolean usable = isUsable(candidate);
                if (usable && candidate.history().hasCarried(request)) {
                    continue;
                }
                candidates.remove();
                if (usable) {
                    return Optional.of(candidate);
                }
                candidate.session().enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
            }
        }
        return Optional.empty();
    }

    private boolean isUsable(IdleConnection connection) {
        return clock.nanos() - connection.expiryNanos() < 0
                && connection.session().getStatus() == IOSession.Status.ACTIVE;
    }

    /** Keeps a connection for its next request, for less time than the target keeps it open. */
    private void keepForReuse(
            Pool pool, IOSession session, ConnectionHistory history, Optional<Duration> targetKeepAlive) {
        Duration reuseTime = targetKeepAlive
                .map(keepAlive -> keepAlive.minus(REUSE_MARGIN))
                .filter(keepAlive -> keepAlive.compareTo(settings.maximumIdleTime()) < 0)
                .orElse(settings.maximumIdleTime());
        if (!pool.purpose().isReused() || reuseTime.isNegative() || reuseTime.isZero()) {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
            return;
        }
        if (closed) {
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        IdleConnection entry = new IdleConnection(session, history, clock.nanos() + reuseTime.toNanos());
        Deque<IdleConnection> connections = idleConnections.computeIfAbsent(pool, unused -> new ArrayDeque<>());
        synchronized (connections) {
            connections.push(entry);
        }
        scheduler.schedule(reuseTime, () -> expire(connections, entry));
    }

    private static void expire(Deque<IdleConnection> connections, IdleConnection entry) {
        boolean unused;
        synchronized (connections) {
            unused = connections.remove(entry);
        }
        if (unused) {
            entry.session().enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /** A connection that can be reused until it expires. */
    private record IdleConnection(IOSession session, ConnectionHistory history, long expiryNanos) {}

    /** The idle connections to one address for one purpose. */
    private record Pool(HttpHost host, ConnectionPurpose purpose) {}

    /** Receives the connections of the exchanges of one pool. */
    private final class Owner implements ConnectionOwner {
        private final Pool pool;

        Owner(Pool pool) {
            this.pool = pool;
        }

        @Override
        public void ended(TargetExchange exchange, IOSession session) {
            exchanges.remove(session.getId(), exchange);
        }

        @Override
        public void keep(IOSession session, ConnectionHistory history, Optional<Duration> targetKeepAlive) {
            keepForReuse(pool, session, history, targetKeepAlive);
        }

        @Override
        public Call replace(Request request, Listener listener) {
            return open(pool, request, true, listener);
        }
    }
}
