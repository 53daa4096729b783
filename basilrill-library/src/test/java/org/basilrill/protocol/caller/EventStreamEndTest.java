package org.basilrill.protocol.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stream that a target broke off and that counts as whole because its connection ended. */
class EventStreamEndTest {
    @ParameterizedTest
    @ValueSource(
            strings = {"data: 1\n\n", "data: 1\r\n\r\n", ": a\n\ndata: 1\n\n: b", "data: 1\n\n\n", "data: 1\n\n: b\n"})
    void aStreamMayEndAfterAWholeEvent(String stream) {
        assertThat(mayEnd(stream), is(true));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "\n\n",
                ": a\n\n",
                "d",
                "data: 1",
                "data: 1\n",
                "data: 1\r\n\r",
                "data: 1\n\ni",
                "data: 1\n\nid: 2\n"
            })
    void aStreamMustNotEndInsideAnEventOrBeforeOne(String stream) {
        assertThat(mayEnd(stream), is(false));
    }

    private static boolean mayEnd(String stream) {
        EventStreamEnd end = new EventStreamEnd();
        for (byte next : stream.getBytes(StandardCharsets.UTF_8)) {
            end.add(new byte[] {next});
        }
        return end.mayEnd();
    }
}
