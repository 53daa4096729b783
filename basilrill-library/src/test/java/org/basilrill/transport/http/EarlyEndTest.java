package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.SocketException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.protocol.target.TargetConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against responses that end early and look complete. The peer sends each proper prefix of a whole response and
 * closes the connection. Each of these responses states its length, is chunked, or has no body.
 */
@Timeout(120)
class EarlyEndTest {
    private static final int WINDOW_BYTES = 16 * 1024;
    private static final String ID = "X-Request-Id: request-1\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    private static final String BODY = "{\"model\":\"medal-match\",\"max_tokens\":5,\"prompt\":\"hello\"}";

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Scheduler scheduler = GatewayFixture.scheduler(timer);
    private final TargetHttpClient client =
            new TargetHttpClient(TargetHttpClient.Settings.defaults(WINDOW_BYTES), System::nanoTime, scheduler);

    /** Responses of targets and relays. */
    private enum WholeResponse {
        LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + ID + "\r\n", "hello\r\nworld"),
        LENGTH_ZERO("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + ID + "\r\n", ""),
        LENGTH_ZERO_OF_HTTP_1_0("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n" + ID + "\r\n", ""),
        LENGTH_AFTER_OTHER_FIELDS("HTTP/1.1 200 OK\r\n" + ID + "Server: x\r\nContent-Length: 3\r\n\r\n", "abc"),
        NO_CONTENT("HTTP/1.1 204 No Content\r\n" + ID + "\r\n", ""),
        NOT_MODIFIED("HTTP/1.1 304 Not Modified\r\n" + ID + "ETag: \"a\"\r\n\r\n", ""),
        CHUNKED(
                "HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n",
                "5\r\nhello\r\na\r\n to all.. \r\n0\r\n\r\n"),
        LONG_CHUNK_SIZES(
                "HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n", "0005;a=b\r\nhello\r\n000\r\n\r\n"),
        EMPTY_CHUNKED("HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"),
        TRAILERS(
                "HTTP/1.1 200 OK\r\n" + ID + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n",
                "2\r\nab\r\n0\r\nX-Sum: 7\r\nX-More: 8\r\n\r\n"),
        CONTINUE("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + ID + "\r\n", ""),
        EARLY_HINTS(
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
                        + "HTTP/1.1 204 No Content\r\n" + ID + "\r\n",
                ""),
        FULL(
                "HTTP/1.1 503 Service Unavailable\r\n" + ID
                        + "Not-Executed: true\r\nRetry-After: 12.5\r\nContent-Length: 0\r\n\r\n",
                ""),
        MISDIRECTED("HTTP/1.1 421 Misdirected Request\r\n" + ID + "Content-Length: 0\r\n\r\n", ""),
        LINE_FEEDS_ONLY("HTTP/1.1 200 OK\nContent-Length: 0\n" + ID.replace("\r", "") + "\n", ""),
        STREAM(
                "HTTP/1.1 200 OK\r\n" + ID + EVENTS + "\r\n",
                "11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n"),
        RELAYED("HTTP/1.1 200 OK\r\nx-basilrill-relay-result: response\r\nContent-Length: 0\r\n" + ID + "\r\n", ""),
        NOT_SENT_BY_RELAY(
                "HTTP/1.1 502 Bad Gateway\r\nx-basilrill-relay-result: not_sent\r\nContent-Length: 0\r\n\r\n", "");

        private final String head;
        private final String body;

        WholeResponse(String head, String body) {
            this.head = head;
            this.body = body;
        }

        String text() {
            return head + body;
        }
    }

    /** Requests of callers. */
    private enum WholeRequest {
        WITHOUT_BODY(requestHead("/v1/services/ledger/orders", "Content-Length: 0")),
        CHUNKED_BODY(requestHead("/v1/completions", "Transfer-Encoding: chunked") + Integer.toHexString(BODY.length())
                + "\r\n" + BODY + "\r\n0\r\n\r\n"),
        CHUNKED_BODY_WITH_TRAILER(requestHead("/v1/completions", "Transfer-Encoding: chunked")
                + Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n0\r\nX-Sum: 7\r\n\r\n");

        private final String text;

        WholeRequest(String text) {
            this.text = text;
        }

        private static String requestHead(String path, String framing) {
            return "POST " + path + " HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer " + FakeServices.KEY + "\r\n"
                    + framing + "\r\n\r\n";
        }
    }

    /** How a peer ends its connection. */
    private enum End {
        CLOSE,
        RESET;

        void of(RawTarget.Exchange exchange) throws IOException {
            if (this == RESET) {
                exchange.socket().setSoLinger(true, 0);
            }
            exchange.socket().close();
        }
    }

    /** What a listener received. */
    private static final class Received implements TargetConnector.Listener {
        private final CountDownLatch ended = new CountDownLatch(1);
        private final List<TargetConnector.FailureKind> failures = new ArrayList<>();
        private boolean head;
        private boolean completed;

        @Override
        public boolean maySend() {
            return true;
        }

        @Override
        public void headReceived(ResponseHead received) {
            head = true;
        }

        @Override
        public void bodyReceived(byte[] bytes) {}

        @Override
        public void responseCompleted() {
            completed = true;
            ended.countDown();
        }

        @Override
        public void failed(TargetConnector.Failure failure) {
            failures.add(failure.kind());
            ended.countDown();
        }

        void awaitEnd() throws InterruptedException {
            assertThat("the exchange ends", ended.await(20, TimeUnit.SECONDS));
        }
    }

    @AfterEach
    void close() {
        client.close();
        timer.shutdownNow();
    }

    /** A head that has not ended promises nothing, so the listener receives only whole heads. */
    @ParameterizedTest
    @EnumSource(WholeResponse.class)
    void everyProperPrefixOfAResponseIsAFailure(WholeResponse response) throws Exception {
        AtomicReference<String> sent = new AtomicReference<>();
        AtomicReference<End> end = new AtomicReference<>();
        try (RawTarget target = new RawTarget(exchange -> {
            exchange.send(sent.get());
            end.get().of(exchange);
        })) {
            for (End how : End.values()) {
                end.set(how);
                for (int length = 0; length < response.text().length(); length++) {
                    sent.set(response.text().substring(0, length));
                    Received received = exchange(target);
                    String prefix = how + " after " + sent.get();
                    assertThat(prefix, received.completed, is(false));
                    assertThat(prefix, received.failures, is(List.of(TargetConnector.FailureKind.CONNECTION_LOST)));
                    assertThat(prefix, received.head && length < response.head.length(), is(false));
                }
            }
            end.set(End.CLOSE);
            sent.set(response.text());
            assertThat("the whole response", exchange(target).completed, is(true));
        }
    }

    /** Guards against a prefix that only fails because all of it arrives at once. */
    @ParameterizedTest
    @EnumSource(WholeResponse.class)
    void aPrefixThatArrivesInPartsIsAFailure(WholeResponse response) throws Exception {
        AtomicReference<String> sent = new AtomicReference<>();
        try (RawTarget target = new RawTarget(exchange -> {
            for (char next : sent.get().toCharArray()) {
                exchange.send(String.valueOf(next));
            }
            exchange.socket().close();
        })) {
            int length = response.text().length();
            for (int missing = 1; missing <= Math.min(length, 12); missing++) {
                sent.set(response.text().substring(0, length - missing));
                assertThat(sent.get(), exchange(target).completed, is(false));
            }
            sent.set(response.text());
            assertThat("the whole response", exchange(target).completed, is(true));
        }
    }

    /** Guards against a short body that reaches the caller as a whole one. */
    @ParameterizedTest
    @EnumSource(names = {"LENGTH_ZERO", "NO_CONTENT", "CHUNKED", "STREAM"})
    void aCallerReceivesNoWholeResponse(WholeResponse response) throws Exception {
        AtomicReference<String> sent = new AtomicReference<>();
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.send(sent.get());
                    exchange.socket().close();
                })) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            for (int length = 0; length < response.text().length(); length++) {
                sent.set(response.text().substring(0, length));
                assertThat(sent.get(), callerReceivesSuccess(fixture), is(false));
            }
        }
    }

    /** Guards against a short response that looks complete after its second connection. */
    @Test
    void anInstanceReceivesNoWholeResponseFromARelay() throws Exception {
        AtomicReference<String> sent = new AtomicReference<>();
        try (RawTarget target = new RawTarget(exchange -> {
            exchange.send(sent.get());
            exchange.socket().close();
        })) {
            String empty = WholeResponse.LENGTH_ZERO.text();
            try (RelayFixture fixture = new RelayFixture(target.port())) {
                for (int length = 0; length < empty.length(); length++) {
                    sent.set(empty.substring(0, length));
                    requireFailureAtRelay(fixture, sent.get());
                }
            }
            String chunked = WholeResponse.CHUNKED.text();
            for (int length = chunked.length() - 8; length < chunked.length(); length++) {
                sent.set(chunked.substring(0, length));
                // A new one for each, as a relay that has lost an exchange is avoided for a while.
                try (RelayFixture fixture = new RelayFixture(target.port())) {
                    requireFailureAtRelay(fixture, sent.get());
                }
            }
            assertThat("the target is reached", target.requests(), hasSize(empty.length() + 8));
        }
    }

    private static void requireFailureAtRelay(RelayFixture fixture, String sent) throws InterruptedException {
        TargetConnector.Request request = new TargetConnector.Request(
                "POST", "/", List.of(new HeaderField("x-request-id", "request-1")), new byte[0], "request-1");
        RelayFixture.Response received = fixture.send(request);
        received.awaitEnd();
        assertThat(sent, received.completed(), is(false));
        assertThat(sent, received.failures(), hasSize(1));
    }

    /** Guards against an order that counts as accepted after half of a response. */
    @Test
    void anOrderWithAResponseThatEndsEarlyHasNoOutcome() throws Exception {
        String whole = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n" + ID + "\r\n";
        AtomicReference<String> sent = new AtomicReference<>();
        HttpTargetOrderClient orders = new HttpTargetOrderClient(client, scheduler, Duration.ofSeconds(10));
        try (RawTarget target = new RawTarget(exchange -> {
            exchange.send(sent.get());
            exchange.socket().close();
        })) {
            for (int length = 0; length < whole.length(); length++) {
                sent.set(whole.substring(0, length));
                var outcome = orders.outcome(FakeServices.target("engine", target.port()), "order-1");
                assertThrows(CompletionException.class, outcome::join, sent.get());
            }
        }
    }

    /** Guards against a request that is run although its head or its chunked body has not ended. */
    @ParameterizedTest
    @EnumSource(WholeRequest.class)
    void everyProperPrefixOfARequestReachesNoTarget(WholeRequest request) throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"))) {
            fixture.addTarget(target);
            for (int length = 0; length < request.text.length(); length++) {
                String prefix = request.text.substring(0, length);
                try (RawHttp caller = fixture.connect()) {
                    caller.send(prefix);
                    caller.endOutput();
                    assertThat(prefix, caller.readHead(), not(containsString(" 200 ")));
                } catch (SocketException reset) {
                    // The connection ends without a response.
                }
            }
            fixture.awaitIdle();
            assertThat(target.requests(), hasSize(0));
        }
    }

    private Received exchange(RawTarget target) throws InterruptedException {
        Received received = new Received();
        TargetConnector.Request request = new TargetConnector.Request("GET", "/", List.of(), new byte[0]);
        HttpHost host = new HttpHost("http", "127.0.0.1", target.port());
        client.open(host, ConnectionPurpose.SINGLE, request, received);
        received.awaitEnd();
        return received;
    }

    /** Returns whether a caller receives a success with a clean end. */
    private static boolean callerReceivesSuccess(GatewayFixture fixture) throws IOException {
        try (RawHttp caller = fixture.connect()) {
            caller.send(
                    RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "X-Request-Id: request-1\r\n", BODY));
            String head = caller.readHead();
            String body = caller.readBody(head);
            return head.startsWith("HTTP/1.1 2") && !body.contains("event: error");
        } catch (IOException brokenOff) {
            return false;
        }
    }
}
