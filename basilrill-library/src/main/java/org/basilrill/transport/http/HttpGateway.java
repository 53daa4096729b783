package org.basilrill.transport.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
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
import org.basilrill.protocol.caller.PlainRoutes;
import org.basilrill.protocol.instance.RequestCoordinator;
import org.basilrill.transport.peer.BindFailure;

/** Listens for callers, targets and operators, and stops gracefully. Thread safe. */
public final class HttpGateway {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Sweeps per header wait: a late head is noticed at most a quarter later than allowed. */
    private static final int SWEEPS_PER_WAIT = 4;

    /** Time for an error event to reach a caller that reads. */
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

    public HttpGateway(
            GatewaySettings settings,
            RequestCoordinator coordinator,
            PlainRoutes plainRoutes,
            MonotonicClock clock,
            Scheduler scheduler) {
        this.settings = settings;
        this.coordinator = coordinator;
        this.scheduler = scheduler;
        connections = new CallerConnections(settings, requestsByAddress(settings, coordinator, plainRoutes), clock);
        IOReactorConfig reactor = KeepAliveProbes.on(IOReactorConfig.custom())
                .setIoThreadCount(settings.ioThreads())
                .setTcpNoDelay(true)
                .setSoReuseAddress(true)
                .build();
        server = new HttpAsyncServer(connections, reactor, null, null, connections, null);
    }

    /**
     * How a stop went.
     *
     * @param limitReached whether requests were still running when the limit passed
     * @param requestsCut number of those requests
     */
    public record StopReport(boolean limitReached, int requestsCut) {}

    /**
     * Starts to listen.
     *
     * @throws BasilrillException with {@code ADDRESS_IN_USE} if the address cannot be bound
     */
    public void start() {
        server.start();
        try {
            endpoint = server.listen(settings.address(), URIScheme.HTTP).get();
            for (InetSocketAddress own : settings.otherAddresses()) {
                server.listen(own, URIScheme.HTTP).get();
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
        scheduleSweep();
    }

    /** Returns the address that is bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) endpoint.getAddress();
    }

    /** Returns the number of open connections of callers. */
    public int openConnections() {
        return connections.size();
    }

    /** Goes on serving, but makes the next answer on each connection its last one, so that callers go elsewhere. */
    public void sendCallersAway() {
        connections.lastAnswers();
    }

    /**
     * Stops: accepts no connection, closes idle ones, finishes running requests within the limit and cuts the others.
     *
     * @return completes once every connection is closed; the same future for every call
     */
    public CompletableFuture<StopReport> stop(Duration limit) {
        if (!stopping.compareAndSet(false, true)) {
            return stopped;
        }
        stopAccepting();
        CompletableFuture<Void> finished = CompletableFuture.allOf(coordinator.drain(), connections.closeWhenIdle());
        Scheduler.Cancellable timer = scheduler.schedule(limit, () -> cut(finished));
        finished.whenComplete((done, problem) -> {
            timer.cancel();
            complete();
        });
        return stopped;
    }

    private static Function<InetSocketAddress, CallerRequests> requestsByAddress(
            GatewaySettings settings, RequestCoordinator coordinator, PlainRoutes plainRoutes) {
        boolean separate = settings.separatesCallers();
        CallerRequests ofCallers =
                new CallerRequests(coordinator, plainRoutes, head -> separate || CallerRoute.matches(head.path()));
        CallerRequests own = new CallerRequests(coordinator, plainRoutes, head -> false);
        Set<Integer> otherPorts = settings.otherAddresses().stream()
                .map(InetSocketAddress::getPort)
                .collect(Collectors.toSet());
        return address -> otherPorts.contains(address.getPort()) ? own : ofCallers;
    }

    private void stopAccepting() {
        try {
            endpoint.close();
        } catch (IOException exception) {
            LOGGER.atWarning().withCause(exception).log("%s", LogEvent.HTTP_CONNECTION_FAILED);
        }
    }

    /** Ends what still runs; its callers get a moment to receive the error before their connections are closed. */
    private void cut(CompletableFuture<Void> finished) {
        if (finished.isDone()) {
            return;
        }
        int cut = Math.max(coordinator.requestsInFlight(), connections.size());
        LOGGER.atWarning().log("%s: %d", LogEvent.DRAIN_LIMIT_REACHED, cut);
        report.set(new StopReport(true, cut));
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

    private void scheduleSweep() {
        Duration interval = settings.headerWait().dividedBy(SWEEPS_PER_WAIT);
        scheduler.schedule(interval, () -> {
            if (!stopped.isDone()) {
                connections.sweep();
                scheduleSweep();
            }
        });
    }
}
