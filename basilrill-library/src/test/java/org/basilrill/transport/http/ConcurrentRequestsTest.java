package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.basilrill.protocol.instance.FakeServices;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests over real sockets that concurrent requests receive their own responses. */
@Timeout(30)
class ConcurrentRequestsTest {
    private static final int CALLERS = 16;
    private static final int REQUESTS_PER_CALLER = 25;
    private static final String BODY = "{\"model\":\"medal-match\",\"stream\":true,\"max_tokens\":5,\"prompt\":\"hi\"}";

    private static String eventOf(String id) {
        return "data: " + id + " " + "x".repeat(new Random(id.hashCode()).nextInt(9000)) + "\n\n";
    }

    /** Guards against swapped or truncated responses when many requests share connections and threads. */
    @Test
    void everyCallerReceivesTheWholeResponseToItsOwnRequest() throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    String id = exchange.header("x-request-id");
                    exchange.startStream();
                    exchange.chunk(eventOf(id));
                    exchange.chunk(eventOf(id + "-second"));
                    exchange.endStream();
                })) {
            fixture.addTarget(target);
            List<Future<?>> running = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                running.add(callers.submit(() -> {
                    sendAll(fixture, number);
                    return null;
                }));
            }
            for (Future<?> result : running) {
                result.get(25, TimeUnit.SECONDS);
            }
            fixture.awaitIdle();
            assertThat(fixture.services().openCharges(), is(0));
            assertThat(fixture.services().openAssignments(), is(0));
            assertThat(target.requests().size(), is(CALLERS * REQUESTS_PER_CALLER));
        } finally {
            callers.shutdownNow();
        }
    }

    private static void sendAll(GatewayFixture fixture, int caller) throws Exception {
        try (RawHttp connection = fixture.connect()) {
            for (int number = 0; number < REQUESTS_PER_CALLER; number++) {
                String id = "c" + caller + "n" + number;
                connection.send(RawHttp.request(
                        "POST", "/v1/completions", FakeServices.KEY, "X-Request-Id: " + id + "\r\n", BODY));
                String head = connection.readHead();
                assertThat(head.toLowerCase(Locale.ROOT), containsString("x-request-id: " + id + "\r\n"));
                assertThat(connection.readBody(head), is(eventOf(id) + eventOf(id + "-second")));
            }
        }
    }
}
