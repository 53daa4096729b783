package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.protocol.target.TargetConnector.FailureKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against chunks of another size than stated, and against trailers that are no fields. */
@Timeout(60)
class InvalidChunksTest {
    private static final String INVALID_CHUNKS = "org.basilrill.transport.http.ResponseSamples#invalidChunks";
    private static final String HEAD = ResponseSamples.OK + ResponseSamples.CHUNKED + "\r\n";
    private static final TargetConnector.Request REQUEST = new TargetConnector.Request(
            "POST", "/", List.of(new HeaderField("x-request-id", "request-1")), new byte[0], "request-1");

    private final ClientFixture client = new ClientFixture();

    @AfterEach
    void close() {
        client.close();
    }

    @ParameterizedTest
    @MethodSource(INVALID_CHUNKS)
    void aBodyWithInvalidChunksIsNotWhole(String body) throws Exception {
        for (boolean byteByByte : new boolean[] {false, true}) {
            try (RawTarget target = ClientFixture.target(new AtomicReference<>(HEAD + body), byteByByte)) {
                RelayFixture.Response received = client.send(target, ConnectionPurpose.REQUESTS);
                assertThat(received.completed(), is(false));
                assertThat(received.failures(), is(List.of(FailureKind.INVALID_ANSWER)));
                assertThat(received.failureDetails(), matchesPattern(".*(chunk|trailer).*"));
            }
        }
    }

    /** Guards against a body with invalid chunks that a relay ends cleanly. */
    @ParameterizedTest
    @MethodSource(INVALID_CHUNKS)
    void aBodyWithInvalidChunksIsNotWholeBehindARelay(String body) throws Exception {
        try (RawTarget target = ClientFixture.target(HEAD + body);
                RelayFixture fixture = new RelayFixture(target.port())) {
            RelayFixture.Response received = fixture.send(REQUEST);
            received.awaitEnd();
            assertThat(received.completed(), is(false));
        }
    }

    /** Guards against a caller's chunked body that another program would read differently. */
    @ParameterizedTest
    @MethodSource(INVALID_CHUNKS)
    void aRequestWithInvalidChunksReachesNoTarget(String body) throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"));
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send("POST /v1/services/ledger/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    + FakeServices.KEY + "\r\nIdempotency-Key: key-1\r\n" + ResponseSamples.CHUNKED + "\r\n" + body);
            assertThat(caller.readHead(), startsWith("HTTP/1.1 400"));
            assertThat(target.requests(), is(List.of()));
        }
    }
}
