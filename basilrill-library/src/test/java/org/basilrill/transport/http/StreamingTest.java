package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.basilrill.protocol.instance.FakeServices;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the forwarding of streams, and of other responses, over real sockets. */
@Timeout(20)
class StreamingTest {
    private static final String BODY = "{\"model\":\"medal-match\",\"stream\":true,\"max_tokens\":50,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(15);

    private static String completion(String extraHeaders) {
        return RawHttp.request("POST", "/v1/chat/completions", FakeServices.KEY, extraHeaders, BODY);
    }

    private static void sendStream(RawTarget.Exchange exchange) throws IOException {
        exchange.startStream();
        exchange.chunk("data: for " + exchange.header("x-request-id") + "\n\n");
        exchange.chunk("data: [DONE]\n\n");
        exchange.endStream();
    }

    /** Guards against a response that is buffered completely before its first token is forwarded. */
    @Test
    void theFirstTokenReachesTheCallerBeforeTheSecondIsSent() throws Exception {
        CountDownLatch firstReceived = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    firstReceived.await();
                    exchange.chunk("data: two\n\n");
                    exchange.endStream();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            assertThat(caller.readHead(), startsWith("HTTP/1.1 200"));
            assertThat(caller.readChunk(), is("data: one\n\n"));
            firstReceived.countDown();
            assertThat(caller.readChunk(), is("data: two\n\n"));
            assertThat(caller.readChunk(), is(""));
            fixture.awaitIdle();
            assertThat(fixture.services().openCharges(), is(0));
            assertThat(fixture.services().openAssignments(), is(0));
        }
    }

    /**
     * Guards against buffering a whole response in memory while the caller does not read. Only JIT-compiled code read
     * far beyond the window, so a single run rarely failed; of 25 repetitions in one process, 14 failed.
     */
    @RepeatedTest(12)
    void aCallerThatDoesNotReadPausesTheTarget() throws Exception {
        String event = "data: " + "x".repeat(8000) + "\n\n";
        int eventCount = 8000;
        AtomicLong written = new AtomicLong();
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.socket().setSendBufferSize(16 * 1024);
                    exchange.startStream();
                    for (int number = 0; number < eventCount; number++) {
                        exchange.chunk(event);
                        written.addAndGet(event.length());
                    }
                    exchange.endStream();
                });
                RawHttp caller = new RawHttp(fixture.gateway().address().getPort(), 8 * 1024)) {
            fixture.addTarget(target);
            caller.send(completion(""));
            caller.readHead();
            long stalledAt = awaitStableCount(written);
            assertThat("bytes in transit", stalledAt, lessThan((long) eventCount * event.length() / 2));
            long total = 0;
            for (String chunk = caller.readChunk(); !chunk.isEmpty(); chunk = caller.readChunk()) {
                total += chunk.length();
            }
            assertThat(total, is((long) eventCount * event.length()));
        }
    }

    /** Returns the count once it has not changed for 300 ms. */
    private static long awaitStableCount(AtomicLong written) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        long last = -1;
        while (written.get() == 0 || last != written.get()) {
            last = written.get();
            never.await(300, TimeUnit.MILLISECONDS);
        }
        return last;
    }

    /** Guards against an interrupted stream that looks complete to its caller. */
    @Test
    void anInterruptedStreamEndsWithAnErrorEvent() throws Exception {
        CountDownLatch firstReceived = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    firstReceived.await();
                    exchange.socket().close();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            caller.readHead();
            assertThat(caller.readChunk(), is("data: one\n\n"));
            firstReceived.countDown();
            String response = caller.readBody("transfer-encoding: chunked");
            assertThat(response, containsString("event: error"));
            assertThat(response, containsString("\"code\":\"STREAM_CUT\""));
            assertThat(response, containsString("\"outcome\":\"may_have_run\""));
        }
    }

    /** Guards against a truncated body that looks complete to its caller. */
    @Test
    void aTruncatedBodyWithALengthClosesTheCallersConnection() throws Exception {
        CountDownLatch bodyStarted = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n"
                            + "X-Request-Id: " + exchange.header("x-request-id") + "\r\n\r\n{\"choices\":");
                    bodyStarted.await();
                    exchange.socket().close();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            assertThat(caller.readHead(), containsString("Transfer-Encoding: chunked"));
            assertThat(caller.readChunk(), is("{\"choices\":"));
            bodyStarted.countDown();
            assertThrows(IOException.class, caller::readChunk);
        }
    }

    /** Guards against a failure that a retry at another target would have avoided. */
    @Test
    void aStreamInterruptedBeforeItsFirstTokenIsRetriedAtAnotherTarget() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget failing = new RawTarget(exchange -> exchange.socket().close());
                RawTarget working = new RawTarget(StreamingTest::sendStream);
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(failing);
            fixture.addTarget(working);
            caller.send(completion("X-Request-Id: mine\r\n"));
            assertThat(caller.readResponse(), containsString("data: for mine"));
        }
    }

    /** Guards against a caller that waits endlessly for an unresponsive target. */
    @Test
    void anUnresponsiveTargetResultsInATimeoutError() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (GatewayFixture fixture =
                        new GatewayFixture(Duration.ofMillis(200), LONG_TIMEOUT, GatewayFixture.NO_ROUTES);
                RawTarget target = new RawTarget(exchange -> {
                    exchange.awaitClose();
                    ended.countDown();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            caller.send(completion(""));
            String response = caller.readResponse();
            assertThat(response, startsWith("HTTP/1.1 504"));
            assertThat(response, containsString("\"code\":\"TARGET_TIMEOUT\""));
            assertThat(response, containsString("\"outcome\":\"may_have_run\""));
            ended.await();
        }
    }

    /** Guards against a target that continues to work for a caller that has disconnected. */
    @Test
    void closingTheCallersConnectionCancelsTheRequestAtTheTarget() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    exchange.awaitClose();
                    cancelled.countDown();
                })) {
            fixture.addTarget(target);
            RawHttp caller = fixture.connect();
            caller.send(completion(""));
            caller.readHead();
            caller.readChunk();
            caller.close();
            cancelled.await();
            fixture.awaitIdle();
            assertThat(fixture.services().openCharges(), is(0));
        }
    }

    /** Guards against cancellation that is delayed until the first token. */
    @Test
    void closingBeforeTheFirstTokenCancelsTheRequestAtTheTarget() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    arrived.countDown();
                    exchange.awaitClose();
                    cancelled.countDown();
                })) {
            fixture.addTarget(target);
            RawHttp caller = fixture.connect();
            caller.send(completion(""));
            arrived.await();
            caller.close();
            cancelled.await();
            fixture.awaitIdle();
        }
    }

    /** Guards against open streams that continue after their key was withdrawn. */
    @Test
    void aWithdrawnKeyEndsItsStream() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    exchange.awaitClose();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            caller.readHead();
            caller.readChunk();
            fixture.services().control().install(FakeServices.rules(2, false));
            assertThat(caller.readChunk(), containsString("\"code\":\"KEY_WITHDRAWN\""));
            assertThat(caller.readChunk(), is(""));
        }
    }

    /** Guards against a response that is sent to the caller of another request. */
    @Test
    void aResponseWithAnotherRequestIdIsRejected() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange ->
                        exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Request-Id: another\r\n\r\nsecret"));
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            caller.send(completion(""));
            String response = caller.readResponse();
            assertThat(response, startsWith("HTTP/1.1 502"));
            assertThat(response, containsString("\"code\":\"ANSWER_MISMATCH\""));
            assertThat(response, not(containsString("secret")));
        }
    }

    /** Guards against extra bytes after a response that are read as the start of the next response. */
    @Test
    void aConnectionWithExtraBytesIsNotReused() throws Exception {
        AtomicInteger number = new AtomicInteger();
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.respond(200, "{\"n\":" + number.incrementAndGet() + "}");
                    if (number.get() == 1) {
                        exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-Id: second\r\n\r\nlate");
                    }
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            fixture.addTarget(target);
            caller.send(completion("X-Request-Id: first\r\n"));
            assertThat(caller.readResponse(), containsString("{\"n\":1}"));
            caller.send(completion("X-Request-Id: second\r\n"));
            assertThat(caller.readResponse(), not(containsString("late")));
        }
    }

    /** Guards against a new connection for each request, and against reused connections for orders. */
    @Test
    void idleConnectionsAreReusedButNotForOrders() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"));
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            for (int number = 0; number < 3; number++) {
                caller.send(completion(""));
                assertThat(caller.readResponse(), startsWith("HTTP/1.1 200"));
                fixture.awaitIdle();
            }
            assertThat(target.connections(), is(1));
            caller.send(RawHttp.request("POST", "/v1/services/ledger/orders", FakeServices.KEY, "", "{}"));
            assertThat(caller.readResponse(), startsWith("HTTP/1.1 200"));
            assertThat(target.connections(), is(2));
        }
    }

    /** Guards against a shutdown that aborts a stream before the time limit. */
    @Test
    void aStopFinishesRunningStreamsAndClosesIdleConnections() throws Exception {
        CountDownLatch stopping = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    stopping.await();
                    exchange.chunk("data: two\n\n");
                    exchange.endStream();
                });
                RawHttp idle = fixture.connect();
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            caller.readHead();
            caller.readChunk();
            var stopped = fixture.gateway().stop(LONG_TIMEOUT);
            assertThat(idle.isAtEndOfStream(), is(true));
            stopping.countDown();
            assertThat(caller.readChunk(), is("data: two\n\n"));
            assertThat(caller.readChunk(), is(""));
            assertThat(caller.isAtEndOfStream(), is(true));
            assertThat(stopped.join(), is(new HttpGateway.StopReport(false, 0)));
        }
    }

    /** Guards against a shutdown that waits forever or does not report the requests it aborted. */
    @Test
    void aStopReportsTheRequestsAbortedAtItsLimit() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    exchange.awaitClose();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            caller.readHead();
            caller.readChunk();
            var stopped = fixture.gateway().stop(Duration.ofMillis(100));
            assertThat(caller.readChunk(), containsString("\"code\":\"INSTANCE_DRAINING\""));
            assertThat(stopped.join().limitReached(), is(true));
            assertThat(stopped.join().requestsAborted(), greaterThan(0));
        }
    }
}
