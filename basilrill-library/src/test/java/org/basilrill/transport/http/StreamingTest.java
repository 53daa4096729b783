package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.util.concurrent.CountDownLatch;
import org.basilrill.protocol.instance.FakeServices;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards the way of streams through real sockets. */
@Timeout(60)
class StreamingTest {
    private static final String BODY = "{\"model\":\"medal-match\",\"stream\":true,\"max_tokens\":50,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";

    private static String completion() {
        return RawHttp.request("POST", "/v1/chat/completions", FakeServices.KEY, "", BODY);
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
                    exchange.chunk("data: [DONE]\n\n");
                    exchange.endStream();
                });
                RawHttp caller = fixture.connect()) {
            fixture.addTarget(target);
            caller.send(completion());
            assertThat(caller.readHead(), startsWith("HTTP/1.1 200"));
            assertThat(caller.readChunk(), is("data: one\n\n"));
            firstSeen.countDown();
            assertThat(caller.readChunk() + caller.readChunk(), containsString("data: two"));
            fixture.awaitIdle();
            assertThat(target.requests().get(0), not(containsString(FakeServices.KEY)));
            assertThat(fixture.services().openCharges(), is(0));
            assertThat(fixture.services().openAssignments(), is(0));
        }
    }
}
