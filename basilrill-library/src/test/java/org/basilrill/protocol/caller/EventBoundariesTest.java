package org.basilrill.protocol.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.junit.jupiter.api.Test;

/** Guards against a stream that is resumed within an event, or after the wrong event. */
class EventBoundariesTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

    private final EventBoundaries boundaries = new EventBoundaries();

    private String complete(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new String(boundaries.complete(bytes), StandardCharsets.UTF_8);
    }

    @Test
    void anIncompleteEventIsNotForwarded() {
        assertThat(complete("id: 1\ndata: a\n\nid: 2\nda"), is("id: 1\ndata: a\n\n"));
        assertThat(boundaries.lastId(), is(Optional.of("1")));
        boundaries.dropPartial();
        assertThat(complete("id: 2\ndata: b\n\n"), is("id: 2\ndata: b\n\n"));
        assertThat(boundaries.lastId(), is(Optional.of("2")));
    }

    @Test
    void aStreamSplitAnywhereIsForwardedCompletely() {
        for (int length = 1; length <= STREAM.length(); length++) {
            EventBoundaries splitBoundaries = new EventBoundaries();
            StringBuilder forwarded = new StringBuilder();
            for (int start = 0; start < STREAM.length(); start += length) {
                String piece = STREAM.substring(start, Math.min(STREAM.length(), start + length));
                byte[] events = splitBoundaries.complete(piece.getBytes(StandardCharsets.UTF_8));
                forwarded.append(new String(events, StandardCharsets.UTF_8));
            }
            assertThat(forwarded.toString(), is(STREAM));
            assertThat(splitBoundaries.lastId(), is(Optional.of("3")));
        }
    }

    @Test
    void bytesAfterTheLastEventAreReturnedAtTheEnd() {
        complete(STREAM + ": done\n");
        assertThat(new String(boundaries.rest(), StandardCharsets.UTF_8), is(": done\n"));
        assertThat(boundaries.rest().length, is(0));
    }

    /** Guards against an event that never ends, which was buffered in memory until the deadline of its request. */
    @Test
    void anEventThatDoesNotEndIsRefused() {
        byte[] part = "x".repeat(8 * 1024).getBytes(StandardCharsets.UTF_8);
        boundaries.complete("id: 1\n\ndata: ".getBytes(StandardCharsets.UTF_8));
        boundaries.complete(part);
        assertThrows(BasilrillException.class, () -> {
            boundaries.complete(part);
            boundaries.complete(part);
        });
        assertThat(boundaries.lastId(), is(Optional.of("1")));
    }
}
