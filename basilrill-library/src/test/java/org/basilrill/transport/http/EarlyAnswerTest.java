package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.protocol.target.TargetConnector.FailureKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an answer without a length that a target breaks off while its request is still being sent. A write
 * that fails takes the error of the connection with it, so that the next read reports a clean end.
 */
@Timeout(120)
class EarlyAnswerTest {
    /** More than the kernel takes of a request that nobody reads. */
    private static final int UPLOAD_BYTES = 3 * 1024 * 1024;
    /** The order in which reads and writes meet the end of a connection varies. */
    private static final int REPETITIONS = 40;

    private static final int RELAYED_REPETITIONS = 10;

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\n";
    private static final String ID = "x-request-id";

    private final ClientFixture client = new ClientFixture();

    /** How a target ends its connection. */
    private enum End {
        /** The kernel sends the rest of the answer and a reset, as part of the request is unread. */
        CLOSE {
            @Override
            void of(RawTarget.Exchange exchange) throws IOException {
                exchange.socket().close();
            }
        },
        /** The kernel sends the end of the answer first, and a reset for what arrives later. */
        CLOSE_AFTER_PART_OF_THE_REQUEST {
            @Override
            void of(RawTarget.Exchange exchange) throws IOException {
                exchange.input().skipNBytes(100_000);
                exchange.input().skip(exchange.input().available());
                exchange.socket().close();
            }
        },
        END_OF_OUTPUT_THEN_RESET {
            @Override
            void of(RawTarget.Exchange exchange) throws IOException, InterruptedException {
                exchange.socket().shutdownOutput();
                TimeUnit.MILLISECONDS.sleep(2);
                exchange.reset();
            }
        },
        RESET {
            @Override
            void of(RawTarget.Exchange exchange) throws IOException {
                exchange.reset();
            }
        },
        RESET_AFTER_SOME_MILLISECONDS {
            @Override
            void of(RawTarget.Exchange exchange) throws IOException, InterruptedException {
                TimeUnit.MILLISECONDS.sleep(5);
                exchange.reset();
            }
        };

        abstract void of(RawTarget.Exchange exchange) throws IOException, InterruptedException;
    }

    @AfterEach
    void close() {
        client.close();
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void anAnswerWithoutALengthToPartOfARequestIsNotWhole(End end) throws Exception {
        try (RawTarget target = new RawTarget(false, exchange -> {
            exchange.send(OK + "\r\n{\"part");
            end.of(exchange);
        })) {
            assertThat("whole answers", wholeAnswers(target), is(0));
        }
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void aStreamWithoutALengthToPartOfARequestIsNotWhole(End end) throws Exception {
        try (RawTarget target = new RawTarget(false, exchange -> {
            exchange.send(OK + EVENTS + "\r\nid: 1\ndata: one\n\n");
            end.of(exchange);
        })) {
            assertThat("whole answers", wholeAnswers(target), is(0));
        }
    }

    static Stream<Arguments> answersThatStateTheirEnds() {
        return Arrays.stream(End.values())
                .flatMap(end -> Stream.of(
                        Arguments.of(end, "Content-Length: 5\r\n\r\nhello"),
                        Arguments.of(end, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")));
    }

    /** Guards against a whole answer that fails because its target did not read the whole request. */
    @ParameterizedTest
    @MethodSource("answersThatStateTheirEnds")
    void anEarlyAnswerThatStatesItsEndIsWhole(End end, String answer) throws Exception {
        try (RawTarget target = new RawTarget(false, exchange -> {
            exchange.send(OK + answer);
            end.of(exchange);
        })) {
            assertThat("whole answers", wholeAnswers(target), is(REPETITIONS));
        }
    }

    /** Guards against an attempt that waits for an answer after its connection has ended without one. */
    @ParameterizedTest
    @EnumSource(End.class)
    void aRequestThatIsCutOffWithoutAnAnswerFailsAtOnce(End end) throws Exception {
        try (RawTarget target = new RawTarget(false, end::of)) {
            for (int repetition = 0; repetition < REPETITIONS; repetition++) {
                assertThat(upload(target).failures(), is(List.of(FailureKind.CONNECTION_LOST)));
            }
        }
    }

    /** Guards against an attempt that waits for an answer although nothing was sent. */
    @Test
    void aRequestThatIsCancelledBeforeItIsSentFailsAtOnce() throws Exception {
        RelayFixture.Response cancelled = new RelayFixture.Response() {
            @Override
            public boolean maySend() {
                return false;
            }
        };
        TargetConnector.Request request = new TargetConnector.Request("POST", "/", List.of(), new byte[10]);
        try (RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"))) {
            HttpHost host = new HttpHost("http", "127.0.0.1", target.port());
            client.client().open(host, ConnectionPurpose.REQUESTS, request, cancelled);
            cancelled.awaitEnd();
            assertThat(cancelled.failures(), is(List.of(FailureKind.CONNECTION_LOST)));
            assertThat(target.requests(), is(List.of()));
        }
    }

    /** Guards against an answer that fails because it began before the whole request was sent. */
    @ParameterizedTest
    @CsvSource({"'',hello", "'Content-Type: text/event-stream\r\n','id: 1\ndata: one\n\n'"})
    void anEarlyAnswerWithoutALengthIsWholeIfItsTargetReadsTheWholeRequest(String field, String body) throws Exception {
        try (RawTarget target = new RawTarget(false, exchange -> {
            exchange.send(OK + field + "\r\n" + body);
            exchange.input().skipNBytes(UPLOAD_BYTES);
            exchange.socket().close();
        })) {
            for (int repetition = 0; repetition < REPETITIONS; repetition++) {
                RelayFixture.Response received = upload(target);
                assertThat(received.failureDetails(), is(""));
                assertThat(received.body(), is(body));
            }
        }
    }

    /** Guards against part of an answer that reaches the caller as a whole one. */
    @ParameterizedTest
    @EnumSource(End.class)
    void aCallerReceivesNoWholeAnswer(End end) throws Exception {
        String prompt = "{\"model\":\"medal-match\",\"max_tokens\":5,\"prompt\":\"" + "x".repeat(UPLOAD_BYTES) + "\"}";
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(false, exchange -> {
                    exchange.send(OK + "\r\n{\"part");
                    end.of(exchange);
                })) {
            fixture.addTarget(target);
            fixture.services().allowRetries(0);
            int whole = 0;
            for (int repetition = 0; repetition < REPETITIONS; repetition++) {
                whole += callerReceivesWholeSuccess(fixture, prompt) ? 1 : 0;
            }
            assertThat("whole answers", whole, is(0));
        }
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void aRelayPassesNoWholeAnswerOn(End end) throws Exception {
        HeaderField id = new HeaderField(ID, "request-1");
        TargetConnector.Request request =
                new TargetConnector.Request("POST", "/", List.of(id), new byte[UPLOAD_BYTES], "request-1");
        try (RawTarget target = new RawTarget(false, exchange -> {
            exchange.send(OK + "\r\n{\"part");
            end.of(exchange);
        })) {
            int whole = 0;
            for (int repetition = 0; repetition < RELAYED_REPETITIONS; repetition++) {
                // A new one for each, as a relay that has lost an exchange is avoided for a while.
                try (RelayFixture fixture = new RelayFixture(target.port())) {
                    RelayFixture.Response received = fixture.send(request);
                    received.awaitEnd();
                    whole += received.completed() ? 1 : 0;
                }
            }
            assertThat("whole answers", whole, is(0));
            assertThat("the target is reached", target.requests().size(), is(RELAYED_REPETITIONS));
        }
    }

    /** Guards against a request that runs although its caller left while sending it. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aRequestWhoseCallerLeavesEarlyReachesNoTarget(boolean waits) throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"))) {
            fixture.addTarget(target);
            for (int repetition = 0; repetition < REPETITIONS; repetition++) {
                try (RawHttp caller = fixture.connect()) {
                    String whole = RawHttp.request(
                            "POST", "/v1/services/ledger/orders", FakeServices.KEY, "", "x".repeat(100_000));
                    caller.send(whole.substring(0, whole.length() - 1));
                    if (waits) {
                        caller.endOutput();
                        assertThat(caller.readHead(), not(containsString(" 200 ")));
                    }
                }
            }
            fixture.awaitIdle();
            assertThat(target.requests(), is(List.of()));
        }
    }

    private int wholeAnswers(RawTarget target) throws InterruptedException {
        int whole = 0;
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            whole += upload(target).completed() ? 1 : 0;
        }
        return whole;
    }

    private RelayFixture.Response upload(RawTarget target) throws InterruptedException {
        return client.send(target, ConnectionPurpose.REQUESTS, new byte[UPLOAD_BYTES]);
    }

    private static boolean callerReceivesWholeSuccess(GatewayFixture fixture, String prompt) throws IOException {
        try (RawHttp caller = fixture.connect()) {
            caller.send(RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "", prompt));
            String head = caller.readHead();
            caller.readBody(head);
            return head.startsWith("HTTP/1.1 2");
        } catch (IOException | NumberFormatException brokenOff) {
            return false;
        }
    }
}
