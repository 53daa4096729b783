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

/** Guards the way of streams through real sockets. */
@Timeout(20)
class StreamingTest {
    private static final String BODY = "{\"model\":\"medal-match\",\"stream\":true,\"max_tokens\":50,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    private static final Duration LONG = Duration.ofSeconds(15);

    private static String completion(String extraHeaders) {
        return RawHttp.request("POST", "/v1/chat/completions", FakeServices.KEY, extraHeaders, BODY);
    }

    private static void answerStream(RawTarget.Exchange exchange) throws IOException {
        exchange.startStream();
        exchange.chunk("data: for " + exchange.header("x-request-id") + "\n\n");
        exchange.chunk("data: [DONE]\n\n");
        exchange.endStream();
    }

    /** Guards against an answer that is collected before its first token goes out. */
    @Test
    void theFirstTokenReachesTheCallerBeforeTheSecondIsSent() throws Exception {
        CountDownLatch firstSeen = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    firstSeen.await();
                    exchange.chunk("data: two\n\n");
                    exchange.endStream();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            assertThat(caller.readHead(), startsWith("HTTP/1.1 200"));
            assertThat(caller.readChunk(), is("data: one\n\n"));
            firstSeen.countDown();
            assertThat(caller.readChunk(), is("data: two\n\n"));
            assertThat(caller.readChunk(), is(""));
            fixture.awaitIdle();
            assertThat(fixture.services().openCharges(), is(0));
            assertThat(fixture.services().openAssignments(), is(0));
        }
    }

    /**
     * Guards against an instance that takes an answer into memory when its caller does not read. Only compiled code
     * read past the window for long, so a single run rarely showed it: 14 of 25 repetitions in one process failed.
     */
    @RepeatedTest(12)
    void aCallerThatDoesNotReadStopsTheTarget() throws Exception {
        String part = "data: " + "x".repeat(8000) + "\n\n";
        int parts = 8000;
        AtomicLong written = new AtomicLong();
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.socket().setSendBufferSize(16 * 1024);
                    exchange.startStream();
                    for (int number = 0; number < parts; number++) {
                        exchange.chunk(part);
                        written.addAndGet(part.length());
                    }
                    exchange.endStream();
                });
                RawHttp caller = new RawHttp(fixture.gateway().address().getPort(), 8 * 1024)) {
            fixture.addTarget(target);
            caller.send(completion(""));
            caller.readHead();
            long stalledAt = awaitStandstill(written);
            assertThat("bytes on the way", stalledAt, lessThan((long) parts * part.length() / 2));
            long total = 0;
            for (String chunk = caller.readChunk(); !chunk.isEmpty(); chunk = caller.readChunk()) {
                total += chunk.length();
            }
            assertThat(total, is((long) parts * part.length()));
        }
    }

    /** Returns the count once it has stood still for a while. */
    private static long awaitStandstill(AtomicLong written) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        long last = -1;
        while (written.get() == 0 || last != written.get()) {
            last = written.get();
            never.await(300, TimeUnit.MILLISECONDS);
        }
        return last;
    }

    /** Guards against a cut stream that looks complete to its caller. */
    @Test
    void aStreamThatIsCutEndsWithAnErrorEvent() throws Exception {
        CountDownLatch firstSeen = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    firstSeen.await();
                    exchange.socket().close();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            caller.readHead();
            assertThat(caller.readChunk(), is("data: one\n\n"));
            firstSeen.countDown();
            String answer = caller.readBody("transfer-encoding: chunked");
            assertThat(answer, containsString("event: error"));
            assertThat(answer, containsString("\"code\":\"STREAM_CUT\""));
            assertThat(answer, containsString("\"outcome\":\"may_have_run\""));
        }
    }

    /** Guards against a truncated body that passes as a whole one. */
    @Test
    void aBodyWithALengthThatIsCutClosesTheCallersConnection() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n"
                            + "X-Request-Id: " + exchange.header("x-request-id") + "\r\n\r\n{\"choices\":");
                    begun.await();
                    exchange.socket().close();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            assertThat(caller.readHead(), containsString("Transfer-Encoding: chunked"));
            assertThat(caller.readChunk(), is("{\"choices\":"));
            begun.countDown();
            assertThrows(IOException.class, caller::readChunk);
        }
    }

    /** Guards against an answer whose end cannot be told from a cut. */
    @Test
    void anAnswerWithoutALengthIsAnError() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: "
                            + exchange.header("x-request-id") + "\r\n\r\n{}");
                    exchange.socket().close();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            caller.send(completion(""));
            assertThat(caller.readAnswer(), containsString("\"code\":\"TARGET_FAILED\""));
        }
    }

    /** Guards against a failure that a second target could have hidden. */
    @Test
    void aStreamCutBeforeItsFirstTokenIsRetriedAtAnotherTarget() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget failing = new RawTarget(exchange -> exchange.socket().close());
                RawTarget working = new RawTarget(StreamingTest::answerStream);
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(failing);
            fixture.addTarget(working);
            caller.send(completion("X-Request-Id: mine\r\n"));
            assertThat(caller.readAnswer(), containsString("data: for mine"));
        }
    }

    /** Guards against a caller that waits on a connection that went silent. */
    @Test
    void aSilentTargetEndsInATypedTimeout() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (GatewayFixture fixture = new GatewayFixture(Duration.ofMillis(200), LONG, GatewayFixture.NO_ROUTES);
                RawTarget target = new RawTarget(exchange -> {
                    exchange.awaitEnd();
                    ended.countDown();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            caller.send(completion(""));
            String answer = caller.readAnswer();
            assertThat(answer, startsWith("HTTP/1.1 504"));
            assertThat(answer, containsString("\"code\":\"TARGET_TIMEOUT\""));
            assertThat(answer, containsString("\"outcome\":\"may_have_run\""));
            ended.await();
        }
    }

    /** Guards against work at a target for a caller that is gone. */
    @Test
    void aCallerThatClosesItsConnectionCancelsAtTheTarget() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    exchange.awaitEnd();
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

    /** Guards against cancellation that waits for the first token. */
    @Test
    void aCallerThatClosesBeforeTheFirstTokenCancelsAtTheTarget() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    arrived.countDown();
                    exchange.awaitEnd();
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

    /** Guards against a withdrawn key whose open streams go on. */
    @Test
    void aWithdrawnKeyEndsItsStream() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    exchange.awaitEnd();
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

    /** Guards against an answer that reaches the caller of another request. */
    @Test
    void anAnswerWithACrossedRequestIdIsRefused() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange ->
                        exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Request-Id: another\r\n\r\nsecret"));
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            caller.send(completion(""));
            String answer = caller.readAnswer();
            assertThat(answer, startsWith("HTTP/1.1 502"));
            assertThat(answer, containsString("\"code\":\"ANSWER_MISMATCH\""));
            assertThat(answer, not(containsString("secret")));
        }
    }

    /** Guards against bytes left over from one answer that become the start of the next. */
    @Test
    void aConnectionWithMoreThanItsAnswerIsNotUsedAgain() throws Exception {
        AtomicInteger number = new AtomicInteger();
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.answer(200, "{\"n\":" + number.incrementAndGet() + "}");
                    if (number.get() == 1) {
                        exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-Id: second\r\n\r\nlate");
                    }
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            fixture.addTarget(target);
            caller.send(completion("X-Request-Id: first\r\n"));
            assertThat(caller.readAnswer(), containsString("{\"n\":1}"));
            caller.send(completion("X-Request-Id: second\r\n"));
            assertThat(caller.readAnswer(), not(containsString("late")));
        }
    }

    /** Guards against connections that are opened anew for each request, and against shared ones for orders. */
    @Test
    void idleConnectionsAreReusedButNotForOrders() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.answer(200, "{}"));
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            for (int number = 0; number < 3; number++) {
                caller.send(completion(""));
                assertThat(caller.readAnswer(), startsWith("HTTP/1.1 200"));
                fixture.awaitIdle();
            }
            assertThat(target.connections(), is(1));
            caller.send(RawHttp.request("POST", "/v1/services/ledger/orders", FakeServices.KEY, "", "{}"));
            assertThat(caller.readAnswer(), startsWith("HTTP/1.1 200"));
            assertThat(target.connections(), is(2));
        }
    }

    /** Guards against a stop that cuts a stream it had time to finish. */
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
            var stopped = fixture.gateway().stop(LONG);
            assertThat(idle.atEnd(), is(true));
            stopping.countDown();
            assertThat(caller.readChunk(), is("data: two\n\n"));
            assertThat(caller.readChunk(), is(""));
            assertThat(caller.atEnd(), is(true));
            assertThat(stopped.join(), is(new HttpGateway.StopReport(false, 0)));
        }
    }

    /** Guards against a stop that waits forever or hides what it cut. */
    @Test
    void aStopReportsTheStreamsItCutAtItsLimit() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    exchange.startStream();
                    exchange.chunk("data: one\n\n");
                    exchange.awaitEnd();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion(""));
            caller.readHead();
            caller.readChunk();
            var stopped = fixture.gateway().stop(Duration.ofMillis(100));
            assertThat(caller.readChunk(), containsString("\"code\":\"INSTANCE_DRAINING\""));
            assertThat(stopped.join().limitReached(), is(true));
            assertThat(stopped.join().requestsCut(), greaterThan(0));
        }
    }
}
