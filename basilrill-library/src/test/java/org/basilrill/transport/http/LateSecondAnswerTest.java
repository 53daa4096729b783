package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.protocol.target.TargetConnector.Call;
import org.basilrill.protocol.target.TargetConnector.FailureKind;
import org.basilrill.protocol.target.TargetConnector.Request;
import org.basilrill.transport.http.RelayFixture.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards requests against a target that answers an earlier request on the same connection a second time. */
@Timeout(60)
class LateSecondAnswerTest {
    private static final String SECOND_BODY = "an answer to the first request";
    private static final String REQUEST_ID = "x-request-id";
    private static final String PROMPT = "{\"model\":\"medal-match\",\"max_tokens\":20,\"prompt\":\"hi\"}";
    /** The kernel may deliver written bytes shortly after the write, also on loopback. */
    private static final int ARRIVAL_MILLIS = 20;

    private static final int PROMPT_BYTES = 4 * 1024 * 1024;
    private static final int NEW_CONNECTIONS = 20;

    /** The answer after which the target answers again. */
    private enum FirstAnswer {
        OK("POST", "HTTP/1.1 200 OK\r\nIDContent-Length: 3\r\n\r\none"),
        CHUNKED("POST", "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"),
        REFUSAL("POST", "HTTP/1.1 503 Full\r\nIDContent-Length: 0\r\n\r\n"),
        CONTINUED(
                "POST",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nIDContent-Length: 3\r\n\r\none"),
        NO_CONTENT("POST", "HTTP/1.1 204 No Content\r\nID\r\n\r\n"),
        HEAD("HEAD", "HTTP/1.1 200 OK\r\nIDContent-Length: 3\r\n\r\n");

        private final String method;
        private final String text;

        FirstAnswer(String method, String text) {
            this.method = method;
            this.text = text;
        }
    }

    /** How much of the second answer arrives before the next request, and when. */
    private enum Arrival {
        WHOLE_WITH_THE_FIRST(true, 1),
        HEAD_PART_WITH_THE_FIRST(true, 0.2),
        BODY_PART_WITH_THE_FIRST(true, 0.9),
        FIRST_BYTE_WITH_THE_FIRST(true, 0.01),
        WHOLE_WHILE_IDLE(false, 1),
        HEAD_PART_WHILE_IDLE(false, 0.2),
        BODY_PART_WHILE_IDLE(false, 0.9);

        private final boolean withTheFirst;
        private final double share;

        Arrival(boolean withTheFirst, double share) {
            this.withTheFirst = withTheFirst;
            this.share = share;
        }
    }

    static List<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (FirstAnswer first : FirstAnswer.values()) {
            for (Arrival arrival : Arrival.values()) {
                cases.add(Arguments.of(first, arrival, true));
                cases.add(Arguments.of(first, arrival, false));
            }
        }
        return cases;
    }

    /** Guards against a second answer that passes for the answer to the next request, or makes that request fail. */
    @ParameterizedTest
    @MethodSource("cases")
    void theNextRequestGetsItsOwnAnswer(FirstAnswer first, Arrival arrival, boolean echoesIds) throws Exception {
        CountDownLatch firstReceived = new CountDownLatch(1);
        CountDownLatch repeated = new CountDownLatch(1);
        AtomicReference<Socket> firstSocket = new AtomicReference<>();
        String second = withId(answer(SECOND_BODY), "first", echoesIds);
        int split = Math.max(1, (int) (second.length() * arrival.share));
        try (RawTarget target = new RawTarget(exchange -> {
                    if (firstSocket.compareAndSet(null, exchange.socket())) {
                        String text = withId(first.text, "first", echoesIds);
                        exchange.send(arrival.withTheFirst ? text + second.substring(0, split) : text);
                        if (!arrival.withTheFirst) {
                            firstReceived.await(20, TimeUnit.SECONDS);
                            exchange.send(second.substring(0, split));
                        }
                        repeated.countDown();
                        return;
                    }
                    String remainder = exchange.socket() == firstSocket.get() ? second.substring(split) : "";
                    exchange.send(remainder + withId(answer("two"), "next", echoesIds));
                });
                GatewayFixture fixture = GatewayFixture.open()) {
            Response one = send(fixture, target, request(first.method, "first"));
            one.awaitEnd();
            assertThat(one.failures(), is(empty()));
            firstReceived.countDown();
            assertThat(repeated.await(20, TimeUnit.SECONDS), is(true));
            if (!arrival.withTheFirst) {
                TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
            }
            Response two = send(fixture, target, request("POST", "next"));
            two.awaitEnd();
            assertThat(two.failures(), is(empty()));
            assertThat(two.body(), is("two"));
        }
    }

    /** Guards callers against second answers that arrive before, with and after the next request on a connection. */
    @Test
    void noCallerReceivesTheAnswerToAnotherRequestFromATargetThatEchoesIds() throws Exception {
        AtomicInteger whole = new AtomicInteger();
        try (RawTarget target = new RawTarget(exchange -> {
                    String id = exchange.header(REQUEST_ID);
                    exchange.send(withId(answer(id), id, true));
                    Thread.sleep(0, ThreadLocalRandom.current().nextInt(999_999));
                    exchange.send(withId(answer(id), id, true));
                });
                GatewayFixture fixture = GatewayFixture.open()) {
            fixture.addTarget(target);
            for (int number = 100; number < 300; number++) {
                String id = "request-" + number;
                try (RawHttp caller = fixture.connect()) {
                    caller.send(RawHttp.request(
                            "POST", "/v1/completions", FakeServices.KEY, "X-Request-Id: " + id + "\r\n", PROMPT));
                    String head = caller.readHead();
                    String body = caller.readBody(head);
                    if (head.startsWith("HTTP/1.1 200")) {
                        assertThat(body, is(id));
                        whole.incrementAndGet();
                    }
                }
            }
        }
        assertThat(whole.get(), greaterThan(0));
    }

    /** Guards against a repeated refusal of the first attempt that passes for the answer to the second one. */
    @Test
    void aRequestWithAnIdThatAConnectionHasCarriedTakesAnotherConnection() throws Exception {
        try (RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"));
                GatewayFixture fixture = GatewayFixture.open()) {
            for (int attempt = 1; attempt <= 3; attempt++) {
                Response response = send(fixture, target, request("POST", "one-id"));
                response.awaitEnd();
                assertThat(response.failures(), is(empty()));
                assertThat(target.connections(), is(attempt));
            }
            send(fixture, target, request("POST", "another-id")).awaitEnd();
            assertThat(target.connections(), is(3));
        }
    }

    /** Guards against the outstanding answer on a connection that has delivered the answer of another request. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aConnectionWithAForeignAnswerIsNotUsedAgain(boolean relayed) throws Exception {
        AtomicReference<Socket> firstSocket = new AtomicReference<>();
        try (RawTarget target = new RawTarget(exchange -> {
                    boolean first = firstSocket.compareAndSet(null, exchange.socket());
                    exchange.send(withId(answer("{}"), first ? "an-earlier-request" : "next", true));
                });
                GatewayFixture fixture = GatewayFixture.open();
                RelayFixture relay = new RelayFixture(target.port())) {
            Request first = request("POST", "first");
            (relayed ? relay.send(first) : send(fixture, target, first)).awaitEnd();
            Request next = request("POST", "next");
            (relayed ? relay.send(next) : send(fixture, target, next)).awaitEnd();
            assertThat(target.connections(), is(2));
        }
    }

    /** Guards against a repeat without an id from a target that has echoed the id on the same connection. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerWithoutAnIdIsInvalidOnAConnectionThatHasEchoedOne(boolean relayed) throws Exception {
        AtomicReference<Socket> firstSocket = new AtomicReference<>();
        try (RawTarget target = new RawTarget(exchange -> {
                    boolean first = firstSocket.compareAndSet(null, exchange.socket());
                    exchange.send(withId(answer("{}"), "first", first));
                });
                GatewayFixture fixture = GatewayFixture.open();
                RelayFixture relay = new RelayFixture(target.port())) {
            Request first = request("POST", "first");
            (relayed ? relay.send(first) : send(fixture, target, first)).awaitEnd();
            Request next = request("POST", "next");
            Response response = relayed ? relay.send(next) : send(fixture, target, next);
            response.awaitEnd();
            assertThat(target.connections(), is(1));
            assertThat(response.completed(), is(false));
            assertThat(response.failures(), is(List.of(FailureKind.INVALID_ANSWER)));
        }
    }

    /** Guards against the loss of a request on a connection whose earlier exchange is cancelled after its end. */
    @Test
    void cancellingACompleteExchangeLeavesItsFormerConnectionOpen() throws Exception {
        CountDownLatch secondReceived = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        try (RawTarget target = new RawTarget(exchange -> {
                    if (exchange.header("x-request-id").equals("next")) {
                        secondReceived.countDown();
                        cancelled.await(20, TimeUnit.SECONDS);
                    }
                    exchange.respond(200, "{}");
                });
                GatewayFixture fixture = GatewayFixture.open()) {
            Response one = new Response();
            Call call = open(fixture, target, request("POST", "first"), one);
            one.awaitEnd();
            Response two = send(fixture, target, request("POST", "next"));
            assertThat(secondReceived.await(20, TimeUnit.SECONDS), is(true));
            call.cancel();
            cancelled.countDown();
            two.awaitEnd();
            assertThat(two.failures(), is(empty()));
            assertThat(target.connections(), is(1));
        }
    }

    /** Guards against bytes on a new connection that the target sent before it had received any request. */
    @Test
    void bytesOnANewConnectionBeforeTheRequestAreNoAnswer() throws Exception {
        // In some attempts the client is ready to write before the bytes arrive; then the request is withdrawn.
        for (int attempt = 0; attempt < NEW_CONNECTIONS; attempt++) {
            assertThat(completesUnsentRequest(), is(false));
        }
    }

    private static boolean completesUnsentRequest() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                GatewayFixture fixture = GatewayFixture.open()) {
            Response response = new Response() {
                @Override
                public boolean maySend() {
                    return false;
                }
            };
            HttpHost host = new HttpHost("http", "127.0.0.1", server.getLocalPort());
            Thread sender = new Thread(() -> {
                try (Socket socket = server.accept()) {
                    socket.getOutputStream()
                            .write(answer("early").replace("ID", "").getBytes(StandardCharsets.UTF_8));
                    socket.getInputStream().read();
                } catch (IOException closed) {
                    // The client closes the connection.
                }
            });
            sender.start();
            fixture.client().open(host, ConnectionPurpose.REQUESTS, request("POST", "first"), response);
            response.awaitEnd();
            return response.completed();
        }
    }

    /** Guards against the rest of a connection whose target answered before it had received the whole request. */
    @Test
    void aConnectionWithAnEarlyAnswerIsNotUsedAgain() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                GatewayFixture fixture = GatewayFixture.open()) {
            Thread acceptor = new Thread(() -> answerEarly(server));
            acceptor.setDaemon(true);
            acceptor.start();
            HttpHost host = new HttpHost("http", "127.0.0.1", server.getLocalPort());
            for (int number = 1; number <= 2; number++) {
                Response response = new Response();
                List<HeaderField> fields = List.of(new HeaderField(REQUEST_ID, "request-" + number));
                Request request = new Request("POST", "/", fields, new byte[PROMPT_BYTES], "request-" + number);
                fixture.client().open(host, ConnectionPurpose.REQUESTS, request, response);
                response.awaitEnd();
                assertThat(response.body(), is("early-" + number));
            }
        }
    }

    /** Guards against an answer to a caller's request that passes for a report, and against the reverse. */
    @Test
    void reportsAndOrdersShareNoConnectionWithRequestsOfCallers() throws Exception {
        try (RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"));
                GatewayFixture fixture = GatewayFixture.open()) {
            send(fixture, target, request("POST", "first")).awaitEnd();
            collect(fixture, target);
            assertThat(target.connections(), is(2));
            collect(fixture, target);
            send(fixture, target, request("POST", "next")).awaitEnd();
            assertThat(target.connections(), is(2));
        }
    }

    private static void collect(GatewayFixture fixture, RawTarget target) {
        ResponseCollector.sendOnReusedConnection(
                        fixture.client(),
                        (delay, task) -> () -> {},
                        new HttpHost("http", "127.0.0.1", target.port()),
                        ConnectionPurpose.REPORTS,
                        new Request("GET", "/report", List.of(), new byte[0]),
                        Duration.ofSeconds(20))
                .join();
    }

    private static void answerEarly(ServerSocket server) {
        List<Socket> sockets = new ArrayList<>();
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                int number = sockets.size();
                RawHttp.readHead(socket.getInputStream());
                String text = answer("early-" + number) + answer("late-" + number);
                socket.getOutputStream().write(text.replace("ID", "").getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static Response send(GatewayFixture fixture, RawTarget target, Request request) {
        Response response = new Response();
        open(fixture, target, request, response);
        return response;
    }

    private static Call open(GatewayFixture fixture, RawTarget target, Request request, Response response) {
        return fixture.client().open(FakeServices.target("target", target.port()), request, false, response);
    }

    private static Request request(String method, String id) {
        byte[] body = method.equals("POST") ? "prompt".getBytes(StandardCharsets.UTF_8) : new byte[0];
        return new Request(method, "/", List.of(new HeaderField(REQUEST_ID, id)), body, id);
    }

    private static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nIDContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String withId(String text, String id, boolean echoesIds) {
        return text.replace("IDContent", "ID\r\nContent")
                .replace("IDTransfer", "ID\r\nTransfer")
                .replace("ID\r\n", echoesIds ? "X-Request-Id: " + id + "\r\n" : "");
    }
}
