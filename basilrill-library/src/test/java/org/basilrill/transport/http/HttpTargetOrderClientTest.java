package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ModelId;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.placement.TargetOrderClient.Order;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the sending of target orders over real sockets. */
@Timeout(20)
class HttpTargetOrderClientTest {
    private static final Order ORDER =
            new Order("order-1", 42, OrderKind.LOAD_MODEL, new ModelId("medal-match"), 3, 1024);

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Scheduler scheduler = GatewayFixture.scheduler(timer);
    private final TargetHttpClient client =
            new TargetHttpClient(TargetHttpClient.Settings.defaults(16 * 1024), System::nanoTime, scheduler);
    private final HttpTargetOrderClient orderClient =
            new HttpTargetOrderClient(client, scheduler, Duration.ofSeconds(10));

    @AfterEach
    void close() {
        client.close();
        timer.shutdownNow();
    }

    /** Guards against an order without its fencing number, and against a misread outcome. */
    @Test
    void theOutcomeOfAnOrderIsReturned() throws Exception {
        try (RawTarget target = new RawTarget(exchange -> {
            if (exchange.head().startsWith("POST")) {
                exchange.respond(409, "{\"outcome\":\"refused_stale\"}");
            } else if (exchange.head().startsWith("GET /orders/order-1 ")) {
                exchange.respond(200, "{\"outcome\":\"done\"}");
            } else {
                exchange.respond(404, "{}");
            }
        })) {
            TargetAnnouncement announcement = FakeServices.target("engine", target.port());
            assertThat(orderClient.send(announcement, ORDER).join(), is(Optional.of(OrderOutcome.REFUSED_STALE)));
            assertThat(target.requests().get(0), startsWith("POST /orders HTTP/1.1"));
            assertThat(
                    target.requests().get(0),
                    containsString("{\"id\":\"order-1\",\"target_incarnation\":" + announcement.incarnation()
                            + ",\"fencing_number\":42,\"kind\":\"load_model\","
                            + "\"model\":\"medal-match\",\"version\":3,\"bytes\":1024}"));
            assertThat(orderClient.outcome(announcement, "order-1").join(), is(Optional.of(OrderOutcome.DONE)));
            assertThat(orderClient.outcome(announcement, "order-2").join(), is(Optional.empty()));
        }
    }

    /** Guards against a lost response that is taken for an outcome. */
    @Test
    void aLostResponseIsAFailure() throws Exception {
        try (RawTarget target = new RawTarget(exchange -> exchange.socket().close())) {
            var lost = orderClient.send(FakeServices.target("engine", target.port()), ORDER);
            CompletionException failure = assertThrows(CompletionException.class, lost::join);
            assertThat(failure.getCause(), is(instanceOf(BasilrillException.class)));
        }
    }

    /** Guards against a late repeat of the outcome of one order that passes for the outcome of the next one. */
    @Test
    void eachOrderUsesAConnectionOfItsOwn() throws Exception {
        try (RawTarget target = new RawTarget(exchange -> {
            exchange.respond(200, "{\"outcome\":\"done\"}");
            exchange.respond(200, "{\"outcome\":\"done\"}");
        })) {
            TargetAnnouncement announcement = FakeServices.target("engine", target.port());
            for (int order = 1; order <= 3; order++) {
                assertThat(orderClient.send(announcement, ORDER).join(), is(Optional.of(OrderOutcome.DONE)));
                assertThat(target.connections(), is(order));
                assertThat(client.idleConnectionCount(), is(0));
            }
        }
    }
}
