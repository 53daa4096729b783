package org.basilrill.transport.http;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.engine.EngineClient;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.dialect.EngineDialect;
import org.basilrill.protocol.dialect.EngineDialect.EngineRequest;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineOrder.Response;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/** Sends orders and report requests to engines over HTTP, in the dialect of the engines. Thread safe. */
public final class HttpEngineClient implements EngineClient {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final TargetHttpClient client;
    private final Scheduler scheduler;
    private final EngineDialect dialect;
    private final InstanceId holder;
    private final Duration timeout;
    private final BiConsumer<TargetAnnouncement, ResponseHead> responseObserver;

    /**
     * Creates the client of one instance.
     *
     * @param holder instance in whose name the orders are sent
     * @param timeout longest time until a response is complete
     * @param responseObserver receives the head of each response, which may state something about the engine
     */
    public HttpEngineClient(
            TargetHttpClient client,
            Scheduler scheduler,
            EngineDialect dialect,
            InstanceId holder,
            Duration timeout,
            BiConsumer<TargetAnnouncement, ResponseHead> responseObserver) {
        this.client = client;
        this.scheduler = scheduler;
        this.dialect = dialect;
        this.holder = holder;
        this.timeout = timeout;
        this.responseObserver = responseObserver;
    }

    @Override
    public CompletableFuture<Optional<EngineReport>> report(TargetAnnouncement engine) {
        return exchange(engine, ConnectionPurpose.REPORTS, dialect.reportRequest(engine))
                .handle((response, failure) -> {
                    if (failure != null) {
                        logNoResponse(engine, failure);
                        return Optional.empty();
                    }
                    return readReport(engine, response);
                });
    }

    @Override
    public CompletableFuture<Response> order(TargetAnnouncement engine, EngineOrder order) {
        return exchange(engine, ConnectionPurpose.ORDERS, dialect.orderRequest(engine, order, holder))
                .handle((response, failure) -> {
                    if (failure != null) {
                        logNoResponse(engine, failure);
                        return Response.UNKNOWN;
                    }
                    return dialect.readOrderResponse(response);
                });
    }

    /** Reads a report; one that cannot be read is missing, so that it is requested again. */
    private Optional<EngineReport> readReport(TargetAnnouncement engine, PlainResponse response) {
        try {
            return dialect.readReport(response);
        } catch (BasilrillException invalid) {
            logNoResponse(engine, invalid);
            return Optional.empty();
        }
    }

    private static void logNoResponse(TargetAnnouncement engine, Throwable failure) {
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "%s: %s, %s", LogEvent.ENGINE_UNANSWERED, engine.id(), failure.getMessage());
    }

    private CompletableFuture<PlainResponse> exchange(
            TargetAnnouncement engine, ConnectionPurpose purpose, EngineRequest engineRequest) {
        TargetConnector.Request request = new TargetConnector.Request(
                engineRequest.method(), engineRequest.path(), engineRequest.headers(), engineRequest.body());
        HttpHost host = new HttpHost("http", engine.host(), engine.port());
        CompletableFuture<PlainResponse> response =
                ResponseCollector.sendOnReusedConnection(client, scheduler, host, purpose, request, timeout);
        return response.thenApply(received -> {
            responseObserver.accept(engine, new ResponseHead(received.status(), received.headers()));
            return received;
        });
    }
}
