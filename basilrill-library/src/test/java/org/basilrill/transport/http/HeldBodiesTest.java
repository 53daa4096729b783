package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.basilrill.protocol.instance.FakeServices;
import org.junit.jupiter.api.Test;

/** Guards the heap against many large requests at once, each of which is within its own limit. */
class HeldBodiesTest {
    private static final int LIMIT = 100_000;
    private static final int ATTEMPTS = 1000;
    private static final String REQUEST =
            RawHttp.request("POST", "/v1/services/ledger/notes", FakeServices.KEY, "", "a".repeat(LIMIT * 3 / 4));

    @Test
    void bodiesBeyondTheLimitAreRefusedUntilOthersAreAnswered() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch mayAnswer = new CountDownLatch(1);
        Duration wait = Duration.ofSeconds(15);
        try (GatewayFixture fixture = new GatewayFixture(wait, wait, GatewayFixture.NO_ROUTES, LIMIT);
                RawTarget target = new RawTarget(exchange -> {
                    arrived.countDown();
                    mayAnswer.await();
                    exchange.answer(200, "{}");
                });
                RawHttp first = fixture.connect()) {
            fixture.addTarget(target);
            first.send(REQUEST);
            arrived.await();
            String refusal = answer(fixture);
            assertThat(refusal, startsWith("HTTP/1.1 503"));
            assertThat(refusal, containsString("\"code\":\"INSTANCE_OVERLOADED\""));
            assertThat(refusal, containsString("\"outcome\":\"not_run\""));
            assertThat(refusal, containsString("retry_after_ms"));
            mayAnswer.countDown();
            assertThat(first.readAnswer(), startsWith("HTTP/1.1 200"));
            assertThat(isAnsweredInTheEnd(fixture), is(true));
        }
    }

    /** The bytes of an answered request are released shortly after the caller has its answer. */
    private static boolean isAnsweredInTheEnd(GatewayFixture fixture) throws Exception {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            if (answer(fixture).startsWith("HTTP/1.1 200")) {
                return true;
            }
        }
        return false;
    }

    private static String answer(GatewayFixture fixture) throws Exception {
        try (RawHttp caller = fixture.connect()) {
            caller.send(REQUEST);
            return caller.readAnswer();
        }
    }
}
