package org.basilrill.coordination.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Guards the limits of an account when two owners of its bucket are lost in a row. */
class LossToleranceTest {
    private static final long TOLERATED = 110_000;

    @Test
    void twoLossesInOneWindowStayWithinTolerance() {
        long start = new LossTolerance(TOLERATED).startTokens(1_000_000);
        assertThat(2 * start, lessThanOrEqualTo(TOLERATED));
    }

    @Test
    void bucketStartsAtMostAtBurst() {
        assertThat(new LossTolerance(TOLERATED).startTokens(500), is(500L));
    }

    @Test
    void bucketWithoutToleranceStartsEmptyAfterGrantsExpired() {
        assertThat(LossTolerance.NONE.startTokens(500), is(0L));
        assertThat(LossTolerance.NONE.coversOpenGrants(), is(false));
    }
}
