package org.basilrill.coordination.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards what is concluded from requests without an answer. */
class UnansweredRequestsTest {
    private final UnansweredRequests requests = new UnansweredRequests();

    /** Guards against taking a target with a long queue for an idle one. */
    @Test
    void theOldestUnansweredRequestTellsTheWait() {
        requests.sent(100);
        requests.sent(300);
        assertThat(requests.longestWaitNanos(500), is(400L));
    }

    /** Guards against a single lost answer that makes a target look busy until the request times out. */
    @Test
    void aRequestThatLaterOnesOvertookTellsNothing() {
        requests.sent(100);
        long second = requests.sent(300);
        requests.sent(400);
        requests.answered(second);
        assertThat(requests.longestWaitNanos(500), is(100L));
    }

    /** Guards against a target that looks busy after all its callers have left. */
    @Test
    void aRequestThatEndedWithoutAnAnswerNoLongerCounts() {
        long first = requests.sent(100);
        requests.ended(first);
        assertThat(requests.longestWaitNanos(500), is(0L));
        long second = requests.sent(600);
        requests.answered(second);
        assertThat(requests.longestWaitNanos(900), is(0L));
    }
}
