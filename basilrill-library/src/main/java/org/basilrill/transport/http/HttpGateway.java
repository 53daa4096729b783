package org.basilrill.transport.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.caller.CallerRoute;
import org.basilrill.protocol.caller.LocalRoutes;
import org.basilrill.protocol.instance.RequestCoordinator;
import org.basilrill.protocol.relay.RelayService;
import org.basilrill.transport.peer.BindFailure;

/** HTTP server for callers, targets and operators, with graceful shutdown. Thread safe. */
public final class HttpGateway {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Timeout checks per head timeout. A timeout is detected late by at most a quarter of the head timeout. */
    private static final int CHECKS_PER_TIMEOUT = 4;

    /**
     * Share of the time limit of a stop that is left when no request is passed on any more. A request that is passed on
     * later would be cut, while its caller can still send it to another instance.
     */
    private static final int LAST_PART_OF_STOP = 4;

    /** Time in which a caller can read the final error event before its connection is closed. */
    private static final Duration FINAL_ERROR_WAIT = Duration.ofMillis(500);

    private final GatewaySettings settings;
    private final RequestCoordinator coordinator;
    private final Scheduler scheduler;
    private final CallerConnections connections;
    private final HttpAsyncServer server;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CompletableFuture<StopReport> stopped = new CompletableFuture<>();
    private final AtomicBoolean completed = new AtomicBoolean();
    private final AtomicReference<StopReport> report = new AtomicReference<>(new StopReport(false, 0));
    private volatile ListenerEndpoint endpoint;

    /**
     * Creates a gateway that does not listen yet.
     *
     * @param relay carries exchanges for other instances; present if the settings have an address for it
     */
    public HttpGateway(
            GatewaySettings settings,
            RequestCoordinator coordinator,
            LocalRoutes localRoutes,
            Optional<RelayService> relay,
            MonotonicClock clock,
            Scheduler scheduler) {
        this.settings = settings;
        this.coordinator = coordinator;
        this.scheduler = scheduler;
        connections =
                new CallerConnections(settings, handlerByAddress(settings, coordinator, localRoutes, relay), clock);
        IOReactorConfig reactor = KeepAliveProbes.enable(IOReactorConfig.custom())
                .setIoThreadCount(settings.ioThreads())
                .setTcpNoDelay(true)
                .setSoReuseAddress(true)
                .build();
        server = new HttpAsyncServer(connections, reactor, null, null, connections, null);
    }

    /**
     * Result of a shutdown.
     *
     * @param limitReached whether requests were still running at the time limit
     * @param requestsAborted number of those requests
     */
    public record StopReport(boolean limitReached, int requestsAborted) {}

    /**
     * Binds the addresses and starts to listen.
     *
     * @throws BasilrillException with {@code ADDRESS_IN_USE} if an address cannot be bound
     */
    public void start() {
        server.start();
        try {
            endpoint = server.listen(settings.address(), URIScheme.HTTP).get();
            for (InetSocketAddress other : settings.additionalAddresses()) {
                server.listen(other, URIScheme.HTTP).get();
            }
        } catch (ExecutionException exception) {
            server.close(CloseMode.IMMEDIATE);
            throw new BasilrillException(
                    ErrorCode.ADDRESS_IN_USE,
                    "cannot listen for callers on " + BindFailure.describe(settings.address(), exception),
                    exception.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            server.close(CloseMode.IMMEDIATE);
            throw new BasilrillException(ErrorCode.INTERNAL, "interrupted while starting to listen", exception);
        }
        LOGGER.atInfo().log("%s: %s", LogEvent.HTTP_LISTENING, address());
        scheduleTimeoutCheck();
    }

    /** Returns the bound address for callers. */
    public InetSocketAddress address() {
        return (InetSocketAddress) endpoint.getAddress();
    }

    /** Returns the number of open connections of callers. */
    public int openConnections() {
        return connections.size();
    }

    /** Closes each connection after its next response, so that callers connect to another instance. Keeps listening. */
    public void closeAfterResponses() {
        connections.closeAfterResponses();
    }

    /**
     * Stops the server: accepts no more connections, closes idle ones, waits for running requests until the limit, and
     * aborts those that remain. Requests that are not at a target in the last part of that time are refused.
     *
     * @return completes once every connection is closed; the same future for every call
     */
    public CompletableFuture<StopReport> stop(Duration limit) {
        if (!stopping.compareAndSet(false, true)) {
            return stopped;
        }
        stopAccepting();
        CompletableFuture<Void> finished = CompletableFuture.allOf(coordinator.drain(), connections.closeWhenIdle());
        Scheduler.Cancellable timer = scheduler.schedule(limit, () -> abortRemaining(finished));
        Duration lastPart = limit.dividedBy(LAST_PART_OF_STOP);
        Scheduler.Cancellable lastStart = scheduler.schedule(limit.minus(lastPart), coordinator::startNoAttempts);
        finished.whenComplete((done, failure) -> {
            timer.cancel();
            lastStart.cancel();
            complete();
        });
        return stopped;
    }

    private static Function<InetSocketAddress, GatewayRequestHandler> handlerByAddress(
            GatewaySettings settings,
            RequestCoordinator coordinator,
            LocalRoutes localRoutes,
            Optional<RelayService> relay) {
        boolean dedicated = settings.hasDedicatedCallerAddress();
        CallerRequestHandler callerHandler = new CallerRequestHandler(
                coordinator, localRoutes, head -> dedicated || CallerRoute.matches(head.path()));
        CallerRequestHandler localHandler = new CallerRequestHandler(coordinator, localRoutes, head -> false);
        Set<Integer> otherPorts = settings.otherAddresses().stream()
                .map(InetSocketAddress::getPort)
                .collect(Collectors.toSet());
        Optional<GatewayRequestHandler> relayHandler = relay.map(RelayRequestHandler::new);
        Optional<Integer> relayPort = settings.relayAddress().map(InetSocketAddress::getPort);
        return address -> {
            if (relayPort.filter(port -> port == address.getPort()).isPresent()) {
                return relayHandler.orElseThrow();
            }
            return otherPorts.contains(address.getPort()) ? localHandler : callerHandler;
        };
    }

    private void stopAccepting() {
        try {
            endpoint.close();
        } catch (IOException exception) {
            LOGGER.atWarning().withCause(exception).log("%s", LogEvent.HTTP_CONNECTION_FAILED);
        }
    }

    /** Aborts the remaining requests. Their connections stay open long enough for callers to receive the error. */
    private void abortRemaining(CompletableFuture<Void> finished) {
        if (finished.isDone()) {
            return;
        }
        int aborted = Math.max(coordinator.requestsInFlight(), connections.size());
        LOGGER.atWarning().log("%s: %d", LogEvent.DRAIN_LIMIT_REACHED, aborted);
        report.set(new StopReport(true, aborted));
        coordinator.stopAll();
        scheduler.schedule(FINAL_ERROR_WAIT, () -> {
            connections.closeAll();
            complete();
        });
    }

    private void complete() {
        if (completed.compareAndSet(false, true)) {
            server.close(CloseMode.IMMEDIATE);
            LOGGER.atInfo().log("%s", LogEvent.HTTP_STOPPED);
            stopped.complete(report.get());
        }
    }

    private void scheduleTimeoutCheck() {
        Duration interval = settings.headTimeout().dividedBy(CHECKS_PER_TIMEOUT);
        scheduler.schedule(interval, () -> {
            if (!stopped.isDone()) {
                connections.closeTimedOut();
                scheduleTimeoutCheck();
            }
        });
    }
}
