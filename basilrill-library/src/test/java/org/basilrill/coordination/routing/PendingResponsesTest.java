package org.basilrill.coordination.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests the wait that is derived from pending responses. */
class PendingResponsesTest {
    private final PendingResponses pendingResponses = new PendingResponses();

    /** Guards against taking a target with a long queue for an idle one. */
    @Test
    void theOldestPendingResponseDeterminesTheWait() {
        pendingResponses.requestSent(100);
        pendingResponses.requestSent(300);
        assertThat(pendingResponses.longestWaitNanos(500), is(400L));
    }

    /** Guards against a single lost response that makes a target look busy until the request times out. */
    @Test
    void aRequestOvertakenByLaterResponsesIsIgnored() {
        pendingResponses.requestSent(100);
        long second = pendingResponses.requestSent(300);
        pendingResponses.requestSent(400);
        pendingResponses.responseStarted(second);
        assertThat(pendingResponses.longestWaitNanos(500), is(100L));
    }

    /** Guards against a target that looks busy after all its callers have cancelled. */
    @Test
    void aRequestThatEndedWithoutAResponseNoLongerCounts() {
        long first = pendingResponses.requestSent(100);
        pendingResponses.requestEnded(first);
        assertThat(pendingResponses.longestWaitNanos(500), is(0L));
        long second = pendingResponses.requestSent(600);
        pendingResponses.responseStarted(second);
        assertThat(pendingResponses.longestWaitNanos(900), is(0L));
    }
}
