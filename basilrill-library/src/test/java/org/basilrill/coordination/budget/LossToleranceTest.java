package org.basilrill.coordination.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Guards the limits of an account against two lost owners of its bucket in a row. */
class LossToleranceTest {
    private static final long TOLERATED = 110_000;

    @Test
    void twoLossesInOneWindowStayWithinTheTolerance() {
        long start = new LossTolerance(TOLERATED).startTokens(1_000_000);
        assertThat(2 * start, lessThanOrEqualTo(TOLERATED));
    }

    @Test
    void aBucketNeverBeginsAboveItsBurst() {
        assertThat(new LossTolerance(TOLERATED).startTokens(500), is(500L));
    }

    @Test
    void withoutToleranceABucketBeginsEmptyAfterItsGrantsHaveExpired() {
        assertThat(LossTolerance.NONE.startTokens(500), is(0L));
        assertThat(LossTolerance.NONE.coversOpenGrants(), is(false));
    }
}
