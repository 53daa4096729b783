package org.basilrill.transport.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.placement.TargetOrderClient;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.protocol.target.TargetOrderCodec;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.target.TargetAnnouncement;

/** Sends target orders to targets over HTTP. Thread safe. */
public final class HttpTargetOrderClient implements TargetOrderClient {
    private static final String ORDERS = "/orders";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final TargetHttpClient client;
    private final Scheduler scheduler;
    private final Duration timeout;

    /**
     * Creates the client.
     *
     * @param timeout longest time until a response is complete; the sender of an order must repeat a request whose
     *     response is lost
     */
    public HttpTargetOrderClient(TargetHttpClient client, Scheduler scheduler, Duration timeout) {
        this.client = client;
        this.scheduler = scheduler;
        this.timeout = timeout;
    }

    @Override
    public CompletableFuture<Optional<OrderOutcome>> send(TargetAnnouncement target, Order order) {
        TargetConnector.Request request = new TargetConnector.Request(
                "POST",
                ORDERS,
                List.of(new HeaderField(ResponseHead.CONTENT_TYPE, PlainResponse.JSON)),
                TargetOrderCodec.write(order, target.incarnation()));
        return exchange(target, request).thenApply(response -> switch (response.status()) {
            case OK, CONFLICT -> TargetOrderCodec.readOutcome(response.body());
            case ACCEPTED -> Optional.empty();
            default -> throw unexpectedStatus(response);
        });
    }

    @Override
    public CompletableFuture<Optional<OrderOutcome>> outcome(TargetAnnouncement target, String orderId) {
        TargetConnector.Request request =
                new TargetConnector.Request("GET", ORDERS + "/" + orderId, List.of(), new byte[0]);
        return exchange(target, request).thenApply(response -> switch (response.status()) {
            case OK -> TargetOrderCodec.readOutcome(response.body());
            case ACCEPTED, NOT_FOUND -> Optional.empty();
            default -> throw unexpectedStatus(response);
        });
    }

    private CompletableFuture<PlainResponse> exchange(TargetAnnouncement target, TargetConnector.Request request) {
        return ResponseCollector.sendOrder(
                client, scheduler, new HttpHost("http", target.host(), target.port()), request, timeout);
    }

    private static BasilrillException unexpectedStatus(PlainResponse response) {
        int shownBytes = Math.min(response.body().length, 200);
        return new BasilrillException(
                ErrorCode.TARGET_FAILED,
                "the target responded to an order with status " + response.status() + ": "
                        + new String(response.body(), 0, shownBytes, StandardCharsets.UTF_8));
    }
}
