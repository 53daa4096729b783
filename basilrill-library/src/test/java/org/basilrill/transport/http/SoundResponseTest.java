package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against valid responses of unusual forms that are rejected or changed. */
@Timeout(60)
class SoundResponseTest {
    private static final String SAMPLES = "org.basilrill.transport.http.ResponseSamples";

    private final ClientFixture client = new ClientFixture();

    @AfterEach
    void close() {
        client.close();
    }

    @ParameterizedTest
    @MethodSource(SAMPLES + "#soundResponses")
    void aSoundResponseIsDeliveredWhole(String response) throws Exception {
        for (boolean byteByByte : new boolean[] {false, true}) {
            try (RawTarget target = ClientFixture.target(new AtomicReference<>(response), byteByByte)) {
                RelayFixture.Response received = client.send(target, ConnectionPurpose.REQUESTS);
                assertThat(received.failureDetails(), is(""));
                assertThat(received.completed(), is(true));
                assertThat(received.body(), is("hello"));
            }
        }
    }

    /** Guards against a response that waits for a body it can't have; its target keeps the connection open. */
    @ParameterizedTest
    @MethodSource(SAMPLES + "#soundResponsesWithoutBody")
    void aSoundResponseWithoutABodyIsDelivered(String response) throws Exception {
        try (RawTarget target = new RawTarget(exchange -> exchange.sendBytes(response))) {
            RelayFixture.Response received = client.send(target, ConnectionPurpose.REQUESTS);
            assertThat(received.failureDetails(), is(""));
            assertThat(received.completed(), is(true));
            assertThat(received.body(), is(""));
        }
    }

    @Test
    void aValueWithBytesOverTheAsciiRangeIsDeliveredAsItIs() throws Exception {
        String fields = ResponseSamples.LENGTH + "X-A: \t \u00e9\u0080 b\t \r\n";
        try (RawTarget target = ClientFixture.target(ResponseSamples.OK + fields + "\r\nhello")) {
            RelayFixture.Response received = client.send(target, ConnectionPurpose.REQUESTS);
            assertThat(received.header("x-a"), is(Optional.of("\u00e9\u0080 b")));
        }
    }
}
