package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilrill.protocol.instance.FakeServices;
import org.junit.jupiter.api.Test;

/**
 * Guards requests against a target that writes an earlier refusal once more on a kept connection: the refusal states
 * that a request did not run, while the target runs the next one.
 */
class RepeatedRefusalTest {
    private static final String PLAIN = "{\"model\":\"medal-match\",\"max_tokens\":20,\"prompt\":\"hi\"}";

    /** Guards against a repeated refusal that arrives before the next request is written. */
    @Test
    void aRefusalThatArrivesWhileNoRequestRunsClosesTheConnection() throws Exception {
        CountDownLatch repeated = new CountDownLatch(1);
        AtomicInteger runs = new AtomicInteger();
        try (RawTarget target = new RawTarget(exchange -> {
                    if (runs.incrementAndGet() == 1) {
                        exchange.respond(200, "{}");
                        sendRefusal(exchange, "an-earlier-request");
                        repeated.countDown();
                    } else {
                        exchange.respond(200, "{\"second\":true}");
                    }
                });
                GatewayFixture fixture = GatewayFixture.open()) {
            fixture.addTarget(target);
            assertThat(send(fixture), containsString("200 OK"));
            assertThat(repeated.await(20, TimeUnit.SECONDS), is(true));
            assertThat(send(fixture), containsString("second"));
        }
    }

    /** Guards against a repeated refusal that arrives while the next request runs at the target. */
    @Test
    void aRefusalOfAnotherRequestIsNotReportedAsNotRun() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (RawTarget target = new RawTarget(exchange -> {
                    if (runs.incrementAndGet() == 1) {
                        exchange.respond(200, "{}");
                    } else {
                        sendRefusal(exchange, "an-earlier-request");
                    }
                });
                GatewayFixture fixture = GatewayFixture.open()) {
            fixture.addTarget(target);
            assertThat(send(fixture), containsString("200 OK"));
            String response = send(fixture);
            assertThat(response, not(containsString("\"not_run\"")));
        }
    }

    /** Guards against a repeated refusal without an id, from a target that otherwise echoes the id. */
    @Test
    void aRefusalWithoutAnIdIsNotReportedAsNotRun() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (RawTarget target = new RawTarget(exchange -> {
                    if (runs.incrementAndGet() == 1) {
                        exchange.respond(200, "{}");
                    } else {
                        exchange.send("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
                    }
                });
                GatewayFixture fixture = GatewayFixture.open()) {
            fixture.addTarget(target);
            assertThat(send(fixture), containsString("200 OK"));
            assertThat(send(fixture), not(containsString("\"not_run\"")));
        }
    }

    private static void sendRefusal(RawTarget.Exchange exchange, String requestId) throws IOException {
        exchange.send("HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Request-Id: " + requestId + "\r\n\r\n");
    }

    private static String send(GatewayFixture fixture) throws Exception {
        try (RawHttp caller = fixture.connect()) {
            caller.send(RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "", PLAIN));
            String response = caller.readResponse();
            fixture.awaitIdle();
            return response;
        }
    }
}
