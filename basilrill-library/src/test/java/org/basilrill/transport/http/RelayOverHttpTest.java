package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.target.TargetConnector.FailureKind;
import org.basilrill.protocol.target.TargetConnector.Request;
import org.junit.jupiter.api.Test;

/** Tests exchanges that one instance carries for another, over real connections. */
class RelayOverHttpTest {
    private static final Request REQUEST = new Request(
            "POST",
            "/v1/completions?a=b",
            List.of(new HeaderField("x-request-id", "request-1"), new HeaderField("x-basilrill-relay-token", "forged")),
            "prompt".getBytes(StandardCharsets.UTF_8),
            "request-1");

    /** Guards against events of a stream that are gathered on the way, and against fields that leak to the target. */
    @Test
    void aStreamArrivesEventByEventThroughAnotherInstance() throws Exception {
        CountDownLatch firstEventRead = new CountDownLatch(1);
        try (RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: 1\n\n");
                    firstEventRead.await(20, TimeUnit.SECONDS);
                    exchange.chunk("data: 2\n\n");
                    exchange.endStream();
                });
                RelayFixture fixture = new RelayFixture(target.port())) {
            RelayFixture.Response response = fixture.send(REQUEST);
            response.awaitBody("data: 1\n\n");
            firstEventRead.countDown();
            response.awaitEnd();
            assertThat(response.body(), is("data: 1\n\ndata: 2\n\n"));
            assertThat(response.failures(), hasSize(0));
            assertThat(response.header("x-basilrill-relay-result").isPresent(), is(false));
            String received = target.requests().get(0);
            assertThat(received, containsString("POST /v1/completions?a=b HTTP/1.1"));
            assertThat(received, containsString("prompt"));
            assertThat(received.toLowerCase(), not(containsString("x-basilrill-relay")));
            assertThat(fixture.relay().exchanges(), is(0));
        }
    }

    /** Guards against a target that works on a request whose caller has left the other instance. */
    @Test
    void aCancelledExchangeIsCancelledAtTheTarget() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: 1\n\n");
                    exchange.awaitClose();
                    closed.countDown();
                });
                RelayFixture fixture = new RelayFixture(target.port())) {
            RelayFixture.Response response = fixture.send(REQUEST);
            response.awaitBody("data: 1\n\n");
            response.cancel();
            assertThat(closed.await(20, TimeUnit.SECONDS), is(true));
        }
    }

    /** Guards against a broken response that looks complete after the second connection. */
    @Test
    void aResponseThatBreaksOffAtTheTargetBreaksOffAtTheOtherInstance() throws Exception {
        try (RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: 1\n\n");
                    throw new IOException("the target breaks off");
                });
                RelayFixture fixture = new RelayFixture(target.port())) {
            RelayFixture.Response response = fixture.send(REQUEST);
            response.awaitEnd();
            assertThat(response.failures(), is(List.of(FailureKind.PATH_LOST)));
            assertThat(response.completed(), is(false));
        }
    }

    /** Guards against evidence of a crash that is lost on the way to the instance that counts crashes. */
    @Test
    void aConnectionThatEndsBeforeTheResponseIsReportedAsLost() throws Exception {
        try (RawTarget target = new RawTarget(exchange -> {
                    throw new IOException("the target crashes");
                });
                RelayFixture fixture = new RelayFixture(target.port())) {
            RelayFixture.Response response = fixture.send(REQUEST);
            response.awaitEnd();
            assertThat(response.failures(), is(List.of(FailureKind.CONNECTION_LOST)));
        }
    }

    /** Guards against a refused connection that counts as a request which may have run. */
    @Test
    void aTargetThatTheRelayDoesNotReachIsReportedAsUnreachable() throws Exception {
        RawTarget target = new RawTarget(exchange -> {});
        target.close();
        try (RelayFixture fixture = new RelayFixture(target.port())) {
            RelayFixture.Response response = fixture.send(REQUEST);
            response.awaitEnd();
            assertThat(response.failures(), is(List.of(FailureKind.UNREACHABLE)));
        }
    }

    /** Guards against strangers who use the port of the relay as an open proxy. */
    @Test
    void aRequestWithoutTheTokenReachesNoTarget() throws Exception {
        try (RawTarget target = new RawTarget(exchange -> exchange.respond(200, "secret"));
                RelayFixture fixture = new RelayFixture(target.port());
                RawHttp stranger = new RawHttp(fixture.relayPort())) {
            stranger.send("GET / HTTP/1.1\r\nHost: relay\r\nX-Basilrill-Relay-Token: wrong\r\n"
                    + "X-Basilrill-Relay-Target: target-0\r\nX-Basilrill-Relay-Sender: stranger\r\n\r\n");
            assertThat(stranger.readHead(), containsString("502"));
            assertThat(target.requests(), hasSize(0));
        }
    }
}
