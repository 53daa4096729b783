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
import org.basilrill.coordination.placement.TargetOrders;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.instance.TargetConnector;
import org.basilrill.protocol.target.TargetOrderCodec;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.target.TargetAnnouncement;

/** Sends target orders over HTTP. Thread safe. */
public final class HttpTargetOrders implements TargetOrders {
    private static final String ORDERS = "/orders";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final TargetHttpClient client;
    private final Scheduler scheduler;
    private final Duration timeout;

    /**
     * Creates the sender.
     *
     * @param timeout longest wait for one answer; a lost answer is asked for again by the caller
     */
    public HttpTargetOrders(TargetHttpClient client, Scheduler scheduler, Duration timeout) {
        this.client = client;
        this.scheduler = scheduler;
        this.timeout = timeout;
    }

    @Override
    public CompletableFuture<Optional<OrderOutcome>> send(TargetAnnouncement target, Order order) {
        TargetConnector.Request request = new TargetConnector.Request(
                "POST",
                ORDERS,
                List.of(new HeaderField(AnswerHead.CONTENT_TYPE, PlainAnswer.JSON)),
                TargetOrderCodec.write(order, target.incarnation()));
        return exchange(target, request).thenApply(answer -> switch (answer.status()) {
            case OK, CONFLICT -> TargetOrderCodec.readOutcome(answer.body());
            case ACCEPTED -> Optional.empty();
            default -> throw unexpected(answer);
        });
    }

    @Override
    public CompletableFuture<Optional<OrderOutcome>> outcome(TargetAnnouncement target, String orderId) {
        TargetConnector.Request request =
                new TargetConnector.Request("GET", ORDERS + "/" + orderId, List.of(), new byte[0]);
        return exchange(target, request).thenApply(answer -> switch (answer.status()) {
            case OK -> TargetOrderCodec.readOutcome(answer.body());
            case ACCEPTED, NOT_FOUND -> Optional.empty();
            default -> throw unexpected(answer);
        });
    }

    private CompletableFuture<PlainAnswer> exchange(TargetAnnouncement target, TargetConnector.Request request) {
        return CollectedAnswer.of(
                client, scheduler, new HttpHost("http", target.host(), target.port()), request, timeout);
    }

    private static BasilrillException unexpected(PlainAnswer answer) {
        int shown = Math.min(answer.body().length, 200);
        return new BasilrillException(
                ErrorCode.TARGET_FAILED,
                "the target answered an order with status " + answer.status() + ": "
                        + new String(answer.body(), 0, shown, StandardCharsets.UTF_8));
    }
}
