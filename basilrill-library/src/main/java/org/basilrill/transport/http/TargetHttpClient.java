package org.basilrill.transport.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequester;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
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
import org.basilrill.protocol.instance.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Sends requests to targets over HTTP/1.1, one at a time on a connection. A connection whose exchange did not end
 * cleanly is closed; an idle one is used again for a few seconds only. Thread safe.
 */
public final class TargetHttpClient implements TargetConnector, AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;
    /** With the number of headers, bounds what the head of an answer takes: 50 endless heads must fit into the heap. */
    private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

    private static final int MAXIMUM_HEADERS = 64;
    /** A request must reach the target before it closes the connection. */
    private static final Duration KEEP_MARGIN = Duration.ofMillis(500);

    private final Settings settings;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final AsyncRequester requester;
    private final Map<HttpHost, Deque<Idle>> idle = new ConcurrentHashMap<>();
    /** The exchange on each connection, by the id of the connection. */
    private final Map<String, TargetExchange> running = new ConcurrentHashMap<>();

    private volatile boolean closed;

    public TargetHttpClient(Settings settings, MonotonicClock clock, Scheduler scheduler) {
        this.settings = settings;
        this.clock = clock;
        this.scheduler = scheduler;
        Http1Config http = Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setInitialWindowSize(settings.windowBytes())
                .setMaxLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderCount(MAXIMUM_HEADERS)
                .build();
        IOReactorConfig reactor = KeepAliveProbes.on(IOReactorConfig.custom())
                .setIoThreadCount(settings.ioThreads())
                .setTcpNoDelay(true)
                .build();
        HttpProcessor processor = new DefaultHttpProcessor(new RequestTargetHost(), new RequestContent());
        IOEventHandlerFactory connections = (session, attachment) -> new ClientHttp1IOEventHandler(
                new TargetDuplexer(session, processor, http, () -> isWindowOpen(session.getId())));
        requester = new AsyncRequester(connections, reactor, null, null, null, null, null);
        requester.start();
    }

    /**
     * Settings of the client.
     *
     * @param windowBytes bytes of an answer taken before the caller took any; the same as in the request limits
     * @param idleReuse longest idle time after which a connection is used again
     */
    public record Settings(int ioThreads, Duration connectTimeout, Duration idleReuse, int windowBytes) {
        /** Returns the settings for a window. */
        public static Settings defaults(int windowBytes) {
            return new Settings(2, Duration.ofSeconds(1), Duration.ofSeconds(5), windowBytes);
        }
    }

    @Override
    public Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
        HttpHost host = new HttpHost("http", target.host(), target.port());
        return open(host, request, freshConnection, listener);
    }

    @Override
    public CompletableFuture<Boolean> accepts(TargetAnnouncement target) {
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

    /** Sends a request to an address that is not that of an announced target. */
    Call open(HttpHost host, Request request, boolean freshConnection, Listener listener) {
        TargetExchange exchange = new TargetExchange(
                host,
                request,
                listener,
                settings.windowBytes(),
                this::keep,
                session -> running.remove(session.getId()));
        if (!freshConnection) {
            IOSession session = takeIdle(host);
            if (session != null) {
                execute(exchange, session, true);
                return exchange;
            }
        }
        requester.requestSession(host, Timeout.of(settings.connectTimeout()), null, new FutureCallback<IOSession>() {
            @Override
            public void completed(IOSession session) {
                execute(exchange, session, false);
            }

            @Override
            public void failed(Exception problem) {
                exchange.connectFailed(problem);
            }

            @Override
            public void cancelled() {
                exchange.connectFailed(new IllegalStateException("the client is closed"));
            }
        });
        return exchange;
    }

    /** Returns the number of idle connections. */
    int idleConnections() {
        int count = 0;
        for (Deque<Idle> connections : idle.values()) {
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

    private boolean isWindowOpen(String session) {
        TargetExchange exchange = running.get(session);
        return exchange == null || exchange.isWindowOpen();
    }

    private void execute(TargetExchange exchange, IOSession session, boolean reused) {
        running.put(session.getId(), exchange);
        if (!exchange.attach(session, reused)) {
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        // Silence is watched by the coordinator, which knows when it is the caller that does not read.
        session.setSocketTimeout(Timeout.DISABLED);
        session.enqueue(new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    private IOSession takeIdle(HttpHost host) {
        Deque<Idle> connections = idle.get(host);
        if (connections == null) {
            return null;
        }
        synchronized (connections) {
            while (!connections.isEmpty()) {
                Idle candidate = connections.pop();
                boolean fresh = clock.nanos() - candidate.untilNanos() < 0;
                if (fresh && candidate.session().getStatus() == IOSession.Status.ACTIVE) {
                    return candidate.session();
                }
                candidate.session().enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
            }
        }
        return null;
    }

    /** Keeps a connection for its next request, for less time than the target keeps it. */
    private void keep(HttpHost host, IOSession session, Optional<Duration> targetKeepsIt) {
        Duration reuse = targetKeepsIt
                .map(kept -> kept.minus(KEEP_MARGIN))
                .filter(kept -> kept.compareTo(settings.idleReuse()) < 0)
                .orElse(settings.idleReuse());
        if (reuse.isNegative() || reuse.isZero()) {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
            return;
        }
        if (closed) {
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        Idle entry = new Idle(session, clock.nanos() + reuse.toNanos());
        Deque<Idle> connections = idle.computeIfAbsent(host, unused -> new ArrayDeque<>());
        synchronized (connections) {
            connections.push(entry);
        }
        scheduler.schedule(reuse, () -> expire(connections, entry));
    }

    private static void expire(Deque<Idle> connections, Idle entry) {
        boolean unused;
        synchronized (connections) {
            unused = connections.remove(entry);
        }
        if (unused) {
            entry.session().enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /** A connection that waits for its next request. */
    private record Idle(IOSession session, long untilNanos) {}
}
