package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.basilrill.protocol.instance.FakeServices;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards the edge of the system against malformed requests and keys that travel on. */
@Timeout(20)
class HttpHardeningTest {
    private static final String BODY = "{\"model\":\"medal-match\",\"max_tokens\":5,\"prompt\":\"hello\"}";
    private static final String AUTHORIZED = "Host: h\r\nAuthorization: Bearer " + FakeServices.KEY + "\r\n";
    private static final String START = "POST /v1/completions HTTP/1.1\r\n";

    private static String answerTo(GatewayFixture fixture, String request) throws IOException {
        try (RawHttp caller = fixture.connect()) {
            caller.send(request);
            String answer = caller.readAnswer();
            boolean refused = answer.startsWith("HTTP/1.1 4");
            return refused && caller.atEnd() ? answer + "[closed]" : answer;
        }
    }

    /** Guards against requests that another program would read differently, such as two requests in one. */
    @Test
    void malformedAndSmuggledRequestsGetATypedRefusalAndNeverReachATarget() throws Exception {
        String chunked = "Transfer-Encoding: chunked\r\n";
        List<String> requests = List.of(
                START + AUTHORIZED + "Content-Length: 5\r\n" + chunked + "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
                START + AUTHORIZED + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
                START + AUTHORIZED + "Content-Length: 5, 5\r\n\r\nhello",
                START + AUTHORIZED + "Content-Length: +5\r\n\r\nhello",
                START + AUTHORIZED + "Content-Length: -1\r\n\r\n",
                START + AUTHORIZED + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                START + AUTHORIZED + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                START + AUTHORIZED + chunked + chunked + "\r\n0\r\n\r\n",
                START + AUTHORIZED + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                START + AUTHORIZED + "X-A: b\r\n Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                START + AUTHORIZED + "X-A: b\u0000c\r\n\r\n",
                START + AUTHORIZED + "X-A: b\rTransfer-Encoding: chunked\r\n\r\n",
                START + AUTHORIZED + "no colon\r\n\r\n",
                START + AUTHORIZED + "Host: second\r\n\r\n",
                START + "Authorization: Bearer " + FakeServices.KEY + "\r\n\r\n",
                "POST http://h/v1/completions HTTP/1.1\r\n" + AUTHORIZED + "\r\n",
                "POST /v1/completions HTTP/1.0\r\n" + AUTHORIZED + "\r\n",
                "POST  /v1/completions HTTP/1.1\r\n" + AUTHORIZED + "\r\n",
                "post /v1/completions HTTP/1.1\r\n" + AUTHORIZED + "\r\n",
                "nonsense\r\n\r\n",
                START + AUTHORIZED + "Content-Length: 7\r\n\r\nno json",
                START + AUTHORIZED + chunked + "\r\nzz\r\nhello\r\n0\r\n\r\n",
                "POST /v1/services/ledger//orders HTTP/1.1\r\n" + AUTHORIZED + "\r\n",
                "POST /v1/services/ledger/%6frders HTTP/1.1\r\n" + AUTHORIZED + "\r\n",
                "POST /v1/services/ledger/a/../orders HTTP/1.1\r\n" + AUTHORIZED + "\r\n",
                START + AUTHORIZED + "Authorization: Bearer another\r\n\r\n");
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.answer(200, "{}"))) {
            fixture.addTarget(target);
            for (String request : requests) {
                String answer = answerTo(fixture, request);
                assertThat(request, answer, startsWith("HTTP/1.1 400"));
                assertThat(request, answer, containsString("\"code\":\"MALFORMED_REQUEST\""));
                assertThat(request, answer, containsString("\"outcome\":\"not_run\""));
            }
            assertThat(target.requests(), is(List.of()));
        }
    }

    /** Guards against memory that callers without limits could fill. */
    @Test
    void oversizedHeadsAndBodiesAreRefused() throws Exception {
        try (GatewayFixture fixture =
                new GatewayFixture(Duration.ofSeconds(15), Duration.ofSeconds(2), GatewayFixture.NO_ROUTES)) {
            String large = "X-Large: " + "a".repeat(17 * 1024) + "\r\n";
            String many = ("X-Part: " + "a".repeat(1000) + "\r\n").repeat(20);
            String path = "GET /" + "p".repeat(17 * 1024) + " HTTP/1.1\r\n";
            for (String request : List.of(
                    START + AUTHORIZED + large + "\r\n",
                    START + AUTHORIZED + many + "\r\n",
                    path + AUTHORIZED + "\r\n")) {
                String answer = answerTo(fixture, request);
                assertThat(answer, startsWith("HTTP/1.1 431"));
                assertThat(answer, containsString("\"code\":\"HEADERS_TOO_LARGE\""));
            }
            String announced = answerTo(fixture, START + AUTHORIZED + "Content-Length: 8388609\r\n\r\n");
            assertThat(announced, containsString("\"code\":\"REQUEST_TOO_LARGE\""));
            String part = "100000\r\n" + "a".repeat(1024 * 1024) + "\r\n";
            String unannounced = answerTo(
                    fixture, START + AUTHORIZED + "Transfer-Encoding: chunked\r\n\r\n" + part.repeat(9) + "0\r\n\r\n");
            assertThat(unannounced, containsString("\"code\":\"REQUEST_TOO_LARGE\""));
        }
    }

    /** Guards against a limit that refuses what is allowed. */
    @Test
    void aBodyOfExactlyTheLimitPasses() throws Exception {
        int limit = 8 * 1024 * 1024;
        String prefix = "{\"model\":\"medal-match\",\"max_tokens\":5,\"prompt\":\"";
        String body = prefix + "a".repeat(limit - prefix.length() - 2) + "\"}";
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target =
                        new RawTarget(exchange -> exchange.answer(200, "{\"n\":" + exchange.body().length + "}"))) {
            fixture.addTarget(target);
            String answer = answerTo(fixture, RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "", body));
            assertThat(answer, containsString("{\"n\":" + limit + "}"));
        }
    }

    /** Guards against connections that are held by a head that never ends. */
    @Test
    void aHeadThatDoesNotEndClosesItsConnection() throws Exception {
        try (GatewayFixture fixture =
                        new GatewayFixture(Duration.ofSeconds(15), Duration.ofMillis(200), GatewayFixture.NO_ROUTES);
                RawHttp head = fixture.connect();
                RawHttp body = fixture.connect();
                RawHttp idle = fixture.connect()) {
            head.send(START + "Host: h\r\n");
            body.send(START + AUTHORIZED + "Content-Length: 10\r\n\r\nhal");
            assertThat(head.atEnd(), is(true));
            assertThat(body.atEnd(), is(true));
            idle.send("GET /v1/nothing HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(idle.readAnswer(), startsWith("HTTP/1.1"));
        }
    }

    /** Guards against a target that learns a key, wherever the caller put it. */
    @Test
    void noTargetSeesAKey() throws Exception {
        String key = FakeServices.KEY;
        String encoded = key.replace("-", "%2D").replace("0", "%30");
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.answer(200, "{}"))) {
            fixture.addTarget(target);
            String fields = "X-Request-Id: " + key + "\r\nAccept: text/" + key + "\r\nContent-Type: a/" + key
                    + "\r\nCookie: key=" + key + "\r\nX-Api-Key: " + key + "\r\nProxy-Authorization: Bearer " + key
                    + "\r\nTrailer: X-Key\r\nTE: trailers\r\nConnection: keep-alive\r\ntracestate: k=" + key + "\r\n";
            String query = "?key=" + key + "&a=1&k2=" + encoded + "&" + key + "=x&" + key + "&b=pre" + key + "post";
            answerTo(
                    fixture,
                    "POST /v1/services/ledger/notes" + query + " HTTP/1.1\r\n" + AUTHORIZED + fields
                            + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Key: " + key
                            + "\r\nAuthorization: Bearer "
                            + key + "\r\n\r\n");
            answerTo(
                    fixture,
                    "GET /v1/services/ledger/status?key=" + key + "&a=1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + key
                            + "\r\nContent-Type: Bearer " + key + "\r\n\r\n");
            assertThat(target.requests().size(), is(2));
            for (String received : target.requests()) {
                assertThat(received, not(containsString(key)));
                assertThat(received, not(containsString(encoded)));
                assertThat(received, not(containsString("authorization")));
                assertThat(received, containsString("?a=1 HTTP/1.1"));
            }
            String inBody = RawHttp.request("POST", "/v1/completions", key, "", BODY.replace("hello", key));
            assertThat(answerTo(fixture, inBody), containsString("\"code\":\"MALFORMED_REQUEST\""));
            String inPath = RawHttp.request("POST", "/v1/services/ledger/" + key, key, "", "");
            assertThat(answerTo(fixture, inPath), containsString("\"code\":\"MALFORMED_REQUEST\""));
            assertThat(target.requests().size(), is(2));
        }
    }

    /** Guards against an instance that asks for a body it will refuse, or never asks for one that it waits for. */
    @Test
    void aCallerThatExpectsContinueGetsItOnlyIfItsKeyIsInForce() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.answer(200, "{}"));
                RawHttp caller = fixture.connect();
                RawHttp stranger = fixture.connect()) {
            fixture.addTarget(target);
            String expect = "Expect: 100-continue\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
            caller.send(START + AUTHORIZED + expect);
            assertThat(caller.readHead(), startsWith("HTTP/1.1 100"));
            caller.send(BODY);
            assertThat(caller.readHead(), startsWith("HTTP/1.1 200"));
            stranger.send(START + "Host: h\r\n" + expect);
            assertThat(stranger.readAnswer(), startsWith("HTTP/1.1 401"));
        }
    }

    /** Guards against a pipelined request whose answer overtakes that of an earlier one. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    if (exchange.header("x-request-id").equals("slow")) {
                        exchange.startStream();
                        exchange.chunk("data: slow\n\n");
                        exchange.endStream();
                    } else {
                        exchange.answer(200, "{\"fast\":1}");
                    }
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            String slow = RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "X-Request-Id: slow\r\n", BODY);
            String fast = RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "X-Request-Id: fast\r\n", BODY);
            caller.send(slow + fast + fast);
            assertThat(caller.readAnswer(), containsString("data: slow"));
            assertThat(caller.readAnswer(), containsString("{\"fast\":1}"));
            assertThat(caller.readAnswer(), containsString("{\"fast\":1}"));
        }
    }
}
