package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.protocol.target.TargetConnector.FailureKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses whose heads are no valid HTTP/1.1 and that pass for whole ones. */
@Timeout(120)
class InvalidResponseTest {
    private static final String INVALID_HEADS = "org.basilrill.transport.http.ResponseSamples#invalidHeads";
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    private static final String COMPLETION = "{\"model\":\"medal-match\",\"max_tokens\":5,\"prompt\":\"hello\"}";
    private static final TargetConnector.Request REQUEST = new TargetConnector.Request(
            "POST", "/", List.of(new HeaderField("x-request-id", "request-1")), new byte[0], "request-1");

    private final ClientFixture client = new ClientFixture();

    @AfterEach
    void close() {
        client.close();
    }

    @ParameterizedTest
    @MethodSource(INVALID_HEADS)
    void nothingOfAnInvalidHeadIsDelivered(String response) throws Exception {
        try (RawTarget target = ClientFixture.target(response)) {
            requireInvalid(client.send(target, ConnectionPurpose.REQUESTS));
        }
    }

    /** Guards against a head that is checked only if it arrives at once. */
    @ParameterizedTest
    @MethodSource(INVALID_HEADS)
    void nothingOfAnInvalidHeadThatArrivesByteByByteIsDelivered(String response) throws Exception {
        try (RawTarget target = ClientFixture.target(new AtomicReference<>(response), true)) {
            requireInvalid(client.send(target, ConnectionPurpose.REQUESTS));
        }
    }

    /** Guards against a spoilt head after a sound response on a kept connection, or after a sound interim one. */
    @ParameterizedTest
    @MethodSource(INVALID_HEADS)
    void nothingOfALaterInvalidHeadIsDelivered(String response) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (RawTarget target = new RawTarget(exchange -> {
            if (requests.incrementAndGet() == 1) {
                exchange.send(ResponseSamples.SOUND);
                return;
            }
            exchange.sendBytes(INTERIM + response);
            exchange.socket().close();
        })) {
            assertThat(client.send(target, ConnectionPurpose.ORDERS).completed(), is(true));
            requireInvalid(client.send(target, ConnectionPurpose.ORDERS));
            assertThat("the connection is kept", target.connections(), is(1));
        }
    }

    /** Guards against a reader of its own for reports, orders or other instances. */
    @ParameterizedTest
    @EnumSource(ConnectionPurpose.class)
    void responsesToAllKindsOfRequestsAreReadAlike(ConnectionPurpose purpose) throws Exception {
        AtomicReference<String> response = new AtomicReference<>();
        try (RawTarget target = ClientFixture.target(response, false)) {
            for (String invalid : List.of(ResponseSamples.BROKEN, "HTTP/1.1\t200 OK\r\n\r\nhello")) {
                response.set(invalid);
                requireInvalid(client.send(target, purpose));
            }
            response.set(ResponseSamples.SOUND);
            assertThat(client.send(target, purpose).completed(), is(true));
        }
    }

    /** Guards against an outcome of an order, or a state of an instance, that nobody stated. */
    @ParameterizedTest
    @MethodSource(INVALID_HEADS)
    void programsReadNothingFromAnInvalidHead(String response) throws Exception {
        HttpTargetOrderClient orders =
                new HttpTargetOrderClient(client.client(), client.scheduler(), Duration.ofSeconds(10));
        try (RawTarget target = ClientFixture.target(response)) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), target.port());
            var outcome = orders.outcome(FakeServices.target("engine", target.port()), "order-1");
            assertThrows(CompletionException.class, outcome::join);
            try (AdministrationClient operator = new AdministrationClient(address, "key", Duration.ofSeconds(10))) {
                assertThrows(BasilrillException.class, operator::status);
            }
        }
    }

    /** Guards against an invalid head that reaches the caller because another instance carries the request. */
    @ParameterizedTest
    @MethodSource(INVALID_HEADS)
    void nothingOfAnInvalidHeadPassesARelay(String response) throws Exception {
        try (RawTarget target = ClientFixture.target(response);
                RelayFixture fixture = new RelayFixture(target.port())) {
            RelayFixture.Response received = fixture.send(REQUEST);
            received.awaitEnd();
            requireInvalid(received);
        }
    }

    /** Guards against a connection that is used again, or stays open, after an invalid head. */
    @Test
    void theConnectionOfAnInvalidHeadIsClosed() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (RawTarget target = new RawTarget(exchange -> {
            exchange.sendBytes(ResponseSamples.BROKEN);
            exchange.awaitClose();
            closed.countDown();
        })) {
            requireInvalid(client.send(target, ConnectionPurpose.REQUESTS));
            assertThat("the connection is closed", closed.await(20, TimeUnit.SECONDS));
            assertThat(client.client().idleConnectionCount(), is(0));
        }
    }

    /** Guards against operators who can't tell why responses of a target are rejected. */
    @Test
    void theFailureNamesTheRuleThatWasBroken() throws Exception {
        requireRule("HTTP/1.1 000 OK\r\n\r\n", "the status line");
        requireRule("HTTP/1.1 200 OK\r\nX A: v\r\n\r\n", "the name of a field");
        requireRule("HTTP/1.1 200 OK\r\nno field\r\n\r\n", "no colon");
        requireRule("HTTP/1.1 200 OK\r\n: v\r\n\r\n", "no name");
        requireRule("HTTP/1.1 200 OK\r\n folded\r\n\r\n", "folded");
        requireRule("HTTP/1.1 200 OK\r\nX-A: \0\r\n\r\n", "a control character");
        requireRule("HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello", "Content-Length");
        requireRule("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello", "Transfer-Encoding");
        requireRule("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "more than once");
        requireRule("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", "announces a body");
    }

    /** Guards against a failed attempt that reaches the caller, that promises "not run", or that bans its target. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Type: text/event-stream\r\n"})
    void aCallerReceivesBadGatewayAndTheTargetStaysInUse(String type) throws Exception {
        AtomicReference<String> response = new AtomicReference<>();
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = ClientFixture.target(response, false)) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            List<String> invalidHeads = Stream.concat(
                            ResponseSamples.invalidFieldLines(), Stream.of("HTTP/1.1  200 OK\r\n\r\nhello"))
                    .toList();
            for (String invalid : invalidHeads) {
                response.set(invalid.replaceFirst("\r\n", "\r\n" + type));
                String received = callerReceives(fixture);
                assertThat(invalid, received, startsWith("HTTP/1.1 502"));
                assertThat(invalid, received, containsString("may_have_run"));
            }
            response.set(ResponseSamples.SOUND);
            assertThat(callerReceives(fixture), startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against a request that fails although it may run again elsewhere. */
    @Test
    void aRequestThatMayRunAgainIsSentOnceMore() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget broken = ClientFixture.target(ResponseSamples.BROKEN);
                RawTarget sound = ClientFixture.target(ResponseSamples.SOUND)) {
            fixture.addTarget(broken);
            fixture.addTarget(sound);
            fixture.services().allowRetries(1);
            assertThat(callerReceives(fixture), startsWith("HTTP/1.1 200"));
            assertThat(broken.requests().size(), is(1));
            assertThat(sound.requests().size(), is(1));
        }
    }

    /** Guards against an order that is sent twice because the response to it is invalid. */
    @Test
    void anOrderOfACallerIsNotSentAgain() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = ClientFixture.target(ResponseSamples.BROKEN);
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            fixture.services().allowRetries(5);
            caller.send(RawHttp.request(
                    "POST", "/v1/services/ledger/orders", FakeServices.KEY, "Idempotency-Key: key-1\r\n", "{}"));
            assertThat(caller.readResponse(), startsWith("HTTP/1.1 502"));
            assertThat(target.requests().size(), is(1));
        }
    }

    private void requireRule(String response, String rule) throws Exception {
        try (RawTarget target = ClientFixture.target(response)) {
            RelayFixture.Response received = client.send(target, ConnectionPurpose.REQUESTS);
            assertThat(received.failureDetails(), containsString(rule));
        }
    }

    private static void requireInvalid(RelayFixture.Response received) {
        assertThat("a head was delivered", received.head().isPresent(), is(false));
        assertThat(received.body(), is(""));
        assertThat(received.completed(), is(false));
        assertThat(received.failures(), is(List.of(FailureKind.INVALID_ANSWER)));
    }

    private static String callerReceives(GatewayFixture fixture) throws IOException {
        try (RawHttp caller = fixture.connect()) {
            caller.send(RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "", COMPLETION));
            return caller.readResponse();
        }
    }
}
