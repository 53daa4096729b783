package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.basilrill.protocol.instance.FakeServices;
import org.junit.jupiter.api.Test;

/** Guards against exhausted heap by many large request bodies at once, each within the limit of one body. */
class BodyMemoryLimiterTest {
    private static final int LIMIT = 100_000;
    private static final int ATTEMPTS = 1000;
    private static final String REQUEST =
            RawHttp.request("POST", "/v1/services/ledger/notes", FakeServices.KEY, "", "a".repeat(LIMIT * 3 / 4));

    @Test
    void bodiesBeyondTheLimitAreRejectedUntilMemoryIsReleased() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch mayRespond = new CountDownLatch(1);
        Duration timeout = Duration.ofSeconds(15);
        try (GatewayFixture fixture = new GatewayFixture(timeout, timeout, GatewayFixture.NO_ROUTES, LIMIT);
                RawTarget target = new RawTarget(exchange -> {
                    arrived.countDown();
                    mayRespond.await();
                    exchange.respond(200, "{}");
                });
                RawHttp first = fixture.connect()) {
            fixture.addTarget(target);
            first.send(REQUEST);
            arrived.await();
            String rejection = sendRequest(fixture);
            assertThat(rejection, startsWith("HTTP/1.1 503"));
            assertThat(rejection, containsString("\"code\":\"INSTANCE_OVERLOADED\""));
            assertThat(rejection, containsString("\"outcome\":\"not_run\""));
            assertThat(rejection, containsString("retry_after_ms"));
            mayRespond.countDown();
            assertThat(first.readResponse(), startsWith("HTTP/1.1 200"));
            assertThat(isEventuallyAccepted(fixture), is(true));
        }
    }

    /** Retries, because the memory of a request is released shortly after the caller received the response. */
    private static boolean isEventuallyAccepted(GatewayFixture fixture) throws Exception {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            if (sendRequest(fixture).startsWith("HTTP/1.1 200")) {
                return true;
            }
        }
        return false;
    }

    private static String sendRequest(GatewayFixture fixture) throws Exception {
        try (RawHttp caller = fixture.connect()) {
            caller.send(REQUEST);
            return caller.readResponse();
        }
    }
}
