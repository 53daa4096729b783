package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.control.OrderOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses of targets that state no length and end with their connection. */
@Timeout(60)
class UnframedResponseTest {
    private static final String BODY = "{\"model\":\"medal-match\",\"max_tokens\":5,\"prompt\":\"hello\"}";
    private static final String JSON = "Content-Type: application/json\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\n";
    private static final String STREAM = "id: 1\ndata: one\n\n: comment\nid: 2\r\ndata: two\r\n\r\n";
    private static final TargetConnector.Request REQUEST = new TargetConnector.Request(
            "POST", "/", List.of(new HeaderField("x-request-id", "request-1")), new byte[0], "request-1");

    /** Guards against a whole response that is refused, and against a framing in which an early end does not show. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void aResponseWithoutALengthIsServedInChunks(String version) throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.send(version + " 200 OK\r\n" + JSON + id(exchange) + "\r\n{\"a\":");
                    exchange.send("1}");
                    exchange.socket().close();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            for (int request = 1; request <= 3; request++) {
                caller.send(completion());
                String head = caller.readHead();
                assertThat(head, startsWith("HTTP/1.1 200"));
                assertThat(head, containsString("Transfer-Encoding: chunked"));
                assertThat(caller.readBody(head), is("{\"a\":1}"));
                fixture.awaitIdle();
                assertThat("connections are not reused", target.connections(), is(request));
            }
        }
    }

    /** Guards against a reset that is taken as the end of a response. */
    @ParameterizedTest
    @ValueSource(strings = {JSON, EVENTS})
    void aResponseThatIsResetIsNotWhole(String type) throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.send("HTTP/1.1 200 OK\r\n" + type + id(exchange) + "\r\ndata: one\n\n");
                    received.await();
                    reset(exchange);
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion());
            assertThat(caller.readHead(), startsWith("HTTP/1.1 200"));
            assertThat(caller.readChunk(), is("data: one\n\n"));
            received.countDown();
            if (type.equals(JSON)) {
                assertThrows(IOException.class, caller::readChunk);
            } else {
                assertThat(caller.readBody("transfer-encoding: chunked"), containsString("\"code\":\"STREAM_CUT\""));
            }
        }
    }

    /** Guards against a reset before the first byte of a body, after which the body would be whole and empty. */
    @Test
    void aResponseThatIsResetBeforeItsBodyIsRetried() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget failing = new RawTarget(exchange -> {
                    exchange.send("HTTP/1.1 200 OK\r\n" + JSON + id(exchange) + "\r\n");
                    reset(exchange);
                });
                RawTarget working = new RawTarget(exchange -> exchange.respond(200, "{}"));
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(failing);
            fixture.addTarget(working);
            caller.send(completion());
            String head = caller.readHead();
            assertThat(head, startsWith("HTTP/1.1 200"));
            assertThat(caller.readBody(head), is("{}"));
        }
    }

    /** Guards against a stream that a target broke off inside an event, or before one, and that looks complete. */
    @Test
    void aStreamIsWholeOnlyAfterAWholeEvent() throws Exception {
        AtomicReference<String> sent = new AtomicReference<>();
        try (RawTarget target = new RawTarget(exchange -> {
                    exchange.send("HTTP/1.1 200 OK\r\n" + EVENTS + id(exchange) + "\r\n" + sent.get());
                    exchange.socket().close();
                });
                GatewayFixture fixture = GatewayFixture.open()) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            for (int length = 0; length <= STREAM.length(); length++) {
                sent.set(STREAM.substring(0, length));
                boolean whole =
                        sent.get().replace("\r", "").replace(": comment\n", "").endsWith("\n\n")
                                || sent.get().matches("(?s).*\n\n:[^\n]*");
                assertThat(sent.get(), callerReceivesCleanEnd(fixture), is(whole));
                if (length % 8 == 0 || whole) {
                    requireEndAtRelay(target, sent.get(), whole);
                }
            }
        }
    }

    /** Uses a new relay each time, as one that has lost an exchange is avoided for a while. */
    private static void requireEndAtRelay(RawTarget target, String sent, boolean whole) throws Exception {
        try (RelayFixture relay = new RelayFixture(target.port())) {
            RelayFixture.Response response = relay.send(REQUEST);
            response.awaitEnd();
            assertThat("over a relay: " + sent, response.completed(), is(whole));
        }
    }

    /** Guards against a broken body that a relay ends cleanly, and against a whole one that it breaks off. */
    @Test
    void aRelayPassesOnHowAResponseEnds() throws Exception {
        AtomicReference<Boolean> whole = new AtomicReference<>();
        CountDownLatch received = new CountDownLatch(1);
        try (RawTarget target = new RawTarget(exchange -> {
                    exchange.send("HTTP/1.0 200 OK\r\n" + JSON + "\r\n{\"a\":1}");
                    if (!whole.get()) {
                        received.await();
                        reset(exchange);
                    }
                    exchange.socket().close();
                });
                RelayFixture fixture = new RelayFixture(target.port())) {
            whole.set(true);
            RelayFixture.Response first = fixture.send(REQUEST);
            first.awaitEnd();
            assertThat(first.completed(), is(true));
            assertThat(first.body(), is("{\"a\":1}"));
            whole.set(false);
            RelayFixture.Response second = fixture.send(REQUEST);
            second.awaitBody("{\"a\":1}");
            received.countDown();
            second.awaitEnd();
            assertThat(second.completed(), is(false));
            assertThat(second.failures(), is(List.of(TargetConnector.FailureKind.PATH_LOST)));
        }
    }

    /** Guards against an endless body that fills the memory, and against a target that goes on without a caller. */
    @Test
    void anEndlessBodyIsReadOnlyAsFarAsItsCallerReads() throws Exception {
        AtomicLong written = new AtomicLong();
        CountDownLatch ended = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.socket().setSendBufferSize(16 * 1024);
                    exchange.send("HTTP/1.1 200 OK\r\n" + JSON + id(exchange) + "\r\n");
                    try {
                        sendEndlessly(exchange, written);
                    } finally {
                        ended.countDown();
                    }
                })) {
            fixture.addTarget(target);
            try (RawHttp caller = new RawHttp(fixture.gateway().address().getPort(), 8 * 1024)) {
                caller.send(completion());
                assertThat(caller.readHead(), startsWith("HTTP/1.1 200"));
                assertThat(awaitStableCount(written), lessThan(8L << 20));
                assertThat(fixture.client().heldResponseBytes(), lessThan((long) 4 * GatewayFixture.WINDOW_BYTES));
            }
            assertThat("the target's connection ends", ended.await(20, TimeUnit.SECONDS));
            fixture.awaitIdle();
            assertThat(fixture.client().heldResponseBytes(), is(0L));
        }
    }

    /** Guards against an order without an outcome because its response states no length, or because it is endless. */
    @Test
    void theResponseToAnOrderMayEndWithItsConnection() throws Exception {
        AtomicReference<String> order = new AtomicReference<>();
        AtomicLong written = new AtomicLong();
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.send("HTTP/1.0 200 OK\r\n" + JSON + "\r\n{\"outcome\":\"done\"}");
                    if (order.get().equals("reset")) {
                        reset(exchange);
                    } else if (order.get().equals("endless")) {
                        sendEndlessly(exchange, written);
                    }
                    exchange.socket().close();
                })) {
            HttpTargetOrderClient orders =
                    new HttpTargetOrderClient(fixture.client(), (delay, task) -> () -> {}, Duration.ofSeconds(10));
            for (String id : List.of("closed", "reset", "endless")) {
                order.set(id);
                var outcome = orders.outcome(FakeServices.target("engine", target.port()), id);
                if (id.equals("closed")) {
                    assertThat(outcome.join(), is(Optional.of(OrderOutcome.DONE)));
                } else {
                    assertThrows(CompletionException.class, outcome::join, id);
                }
            }
        }
    }

    private static String completion() {
        return RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "", BODY);
    }

    private static String id(RawTarget.Exchange exchange) {
        return "X-Request-Id: " + exchange.header("x-request-id") + "\r\n";
    }

    private static void reset(RawTarget.Exchange exchange) throws IOException {
        exchange.socket().setSoLinger(true, 0);
        exchange.socket().close();
    }

    private static void sendEndlessly(RawTarget.Exchange exchange, AtomicLong written) throws IOException {
        byte[] block = new byte[8192];
        while (true) {
            exchange.output().write(block);
            written.addAndGet(block.length);
        }
    }

    /** Returns the count once it has not changed for 300 ms. */
    private static long awaitStableCount(AtomicLong written) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        long last = -1;
        while (written.get() == 0 || last != written.get()) {
            last = written.get();
            never.await(300, TimeUnit.MILLISECONDS);
        }
        return last;
    }

    private static boolean callerReceivesCleanEnd(GatewayFixture fixture) throws IOException {
        try (RawHttp caller = fixture.connect()) {
            caller.send(completion());
            String head = caller.readHead();
            String body = caller.readBody(head);
            return head.startsWith("HTTP/1.1 200") && !body.contains("event: error");
        } catch (IOException brokenOff) {
            return false;
        }
    }
}
