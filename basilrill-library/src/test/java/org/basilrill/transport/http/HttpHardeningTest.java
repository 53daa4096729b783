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

/** Guards against malformed or oversized requests, slow callers, and keys that are forwarded to targets. */
@Timeout(20)
class HttpHardeningTest {
    private static final String BODY = "{\"model\":\"medal-match\",\"max_tokens\":5,\"prompt\":\"hello\"}";
    private static final String AUTHORIZED = "Host: h\r\nAuthorization: Bearer " + FakeServices.KEY + "\r\n";
    private static final String START = "POST /v1/completions HTTP/1.1\r\n";

    private static String responseTo(GatewayFixture fixture, String request) throws IOException {
        try (RawHttp caller = fixture.connect()) {
            caller.send(request);
            String response = caller.readResponse();
            boolean rejected = response.startsWith("HTTP/1.1 4");
            return rejected && caller.isAtEndOfStream() ? response + "[closed]" : response;
        }
    }

    /** Guards against request smuggling by requests that another HTTP program would parse differently. */
    @Test
    void malformedAndSmuggledRequestsAreRejectedAndNeverReachATarget() throws Exception {
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
                RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"))) {
            fixture.addTarget(target);
            for (String request : requests) {
                String response = responseTo(fixture, request);
                assertThat(request, response, startsWith("HTTP/1.1 400"));
                assertThat(request, response, containsString("\"code\":\"MALFORMED_REQUEST\""));
                assertThat(request, response, containsString("\"outcome\":\"not_run\""));
            }
            assertThat(target.requests(), is(List.of()));
        }
    }

    /** Guards against callers that exhaust the memory with large heads or bodies. */
    @Test
    void oversizedHeadsAndBodiesAreRejected() throws Exception {
        try (GatewayFixture fixture =
                new GatewayFixture(Duration.ofSeconds(15), Duration.ofSeconds(2), GatewayFixture.NO_ROUTES)) {
            String large = "X-Large: " + "a".repeat(17 * 1024) + "\r\n";
            String many = ("X-Part: " + "a".repeat(1000) + "\r\n").repeat(20);
            String path = "GET /" + "p".repeat(17 * 1024) + " HTTP/1.1\r\n";
            for (String request : List.of(
                    START + AUTHORIZED + large + "\r\n",
                    START + AUTHORIZED + many + "\r\n",
                    path + AUTHORIZED + "\r\n")) {
                String response = responseTo(fixture, request);
                assertThat(response, startsWith("HTTP/1.1 431"));
                assertThat(response, containsString("\"code\":\"HEADERS_TOO_LARGE\""));
            }
            String declared = responseTo(fixture, START + AUTHORIZED + "Content-Length: 8388609\r\n\r\n");
            assertThat(declared, containsString("\"code\":\"REQUEST_TOO_LARGE\""));
            String part = "100000\r\n" + "a".repeat(1024 * 1024) + "\r\n";
            String undeclared = responseTo(
                    fixture, START + AUTHORIZED + "Transfer-Encoding: chunked\r\n\r\n" + part.repeat(9) + "0\r\n\r\n");
            assertThat(undeclared, containsString("\"code\":\"REQUEST_TOO_LARGE\""));
        }
    }

    /** Guards against rejecting a body of exactly the permitted size. */
    @Test
    void aBodyOfExactlyTheLimitIsAccepted() throws Exception {
        int limit = 8 * 1024 * 1024;
        String prefix = "{\"model\":\"medal-match\",\"max_tokens\":5,\"prompt\":\"";
        String body = prefix + "a".repeat(limit - prefix.length() - 2) + "\"}";
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target =
                        new RawTarget(exchange -> exchange.respond(200, "{\"n\":" + exchange.body().length + "}"))) {
            fixture.addTarget(target);
            String response =
                    responseTo(fixture, RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "", body));
            assertThat(response, containsString("{\"n\":" + limit + "}"));
        }
    }

    /** Guards against connections that stay open because a head or body never ends. */
    @Test
    void anIncompleteHeadOrBodyClosesItsConnectionAfterATimeout() throws Exception {
        try (GatewayFixture fixture =
                        new GatewayFixture(Duration.ofSeconds(15), Duration.ofMillis(200), GatewayFixture.NO_ROUTES);
                RawHttp head = fixture.connect();
                RawHttp body = fixture.connect();
                RawHttp idle = fixture.connect()) {
            head.send(START + "Host: h\r\n");
            body.send(START + AUTHORIZED + "Content-Length: 10\r\n\r\nhal");
            assertThat(head.isAtEndOfStream(), is(true));
            assertThat(body.isAtEndOfStream(), is(true));
            idle.send("GET /v1/nothing HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(idle.readResponse(), startsWith("HTTP/1.1"));
        }
    }

    /** Guards against forwarding the key of a caller to a target, in whichever part of the request the key occurs. */
    @Test
    void noTargetReceivesAKey() throws Exception {
        String key = FakeServices.KEY;
        String encoded = key.replace("-", "%2D").replace("0", "%30");
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"))) {
            fixture.addTarget(target);
            String fields = "X-Request-Id: " + key + "\r\nAccept: text/" + key + "\r\nContent-Type: a/" + key
                    + "\r\nCookie: key=" + key + "\r\nX-Api-Key: " + key + "\r\nProxy-Authorization: Bearer " + key
                    + "\r\nTrailer: X-Key\r\nTE: trailers\r\nConnection: keep-alive\r\ntracestate: k=" + key + "\r\n";
            String query = "?key=" + key + "&a=1&k2=" + encoded + "&" + key + "=x&" + key + "&b=pre" + key + "post";
            responseTo(
                    fixture,
                    "POST /v1/services/ledger/notes" + query + " HTTP/1.1\r\n" + AUTHORIZED + fields
                            + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Key: " + key
                            + "\r\nAuthorization: Bearer "
                            + key + "\r\n\r\n");
            responseTo(
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
            assertThat(responseTo(fixture, inBody), containsString("\"code\":\"MALFORMED_REQUEST\""));
            String inPath = RawHttp.request("POST", "/v1/services/ledger/" + key, key, "", "");
            assertThat(responseTo(fixture, inPath), containsString("\"code\":\"MALFORMED_REQUEST\""));
            assertThat(target.requests().size(), is(2));
        }
    }

    /** Guards against a 100 response before a body that will be rejected, and against a missing 100 response. */
    @Test
    void continueIsSentOnlyIfTheKeyIsValid() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> exchange.respond(200, "{}"));
                RawHttp caller = fixture.connect();
                RawHttp unauthorized = fixture.connect()) {
            fixture.addTarget(target);
            String expect = "Expect: 100-continue\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
            caller.send(START + AUTHORIZED + expect);
            assertThat(caller.readHead(), startsWith("HTTP/1.1 100"));
            caller.send(BODY);
            assertThat(caller.readHead(), startsWith("HTTP/1.1 200"));
            unauthorized.send(START + "Host: h\r\n" + expect);
            assertThat(unauthorized.readResponse(), startsWith("HTTP/1.1 401"));
        }
    }

    /** Guards against a response that is sent before that of an earlier request on the same connection. */
    @Test
    void pipelinedResponsesAreSentInOrder() throws Exception {
        try (GatewayFixture fixture = GatewayFixture.open();
                RawTarget target = new RawTarget(exchange -> {
                    if (exchange.header("x-request-id").equals("slow")) {
                        exchange.startStream();
                        exchange.chunk("data: slow\n\n");
                        exchange.endStream();
                    } else {
                        exchange.respond(200, "{\"fast\":1}");
                    }
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            String slow = RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "X-Request-Id: slow\r\n", BODY);
            String fast = RawHttp.request("POST", "/v1/completions", FakeServices.KEY, "X-Request-Id: fast\r\n", BODY);
            caller.send(slow + fast + fast);
            assertThat(caller.readResponse(), containsString("data: slow"));
            assertThat(caller.readResponse(), containsString("{\"fast\":1}"));
            assertThat(caller.readResponse(), containsString("{\"fast\":1}"));
        }
    }
}
