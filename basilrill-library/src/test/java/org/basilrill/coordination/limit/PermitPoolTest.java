package org.basilrill.coordination.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.limit.LimitMessage.PermitGrant;
import org.basilrill.coordination.limit.RequestPermits.QueuedDemand;
import org.basilrill.state.target.RequestRate;
import org.junit.jupiter.api.Test;

/** Guards that each permit is used, expires or is returned exactly once. */
class PermitPoolTest {
    private static final TargetKey TARGET = new TargetKey(new TargetId("engine-1"), 7);
    private static final long VALIDITY = Duration.ofSeconds(1).toNanos();

    private final PermitPool pool = new PermitPool(TARGET, new RequestRate(1), 0);

    private static PermitGrant grant(long number, int permits) {
        return new PermitGrant(TARGET, number, permits, 0, 0, 1);
    }

    /** Guards against two requests for one permit whose grant arrives twice. */
    @Test
    void aRepeatedGrantAddsNoPermit() {
        pool.received(grant(4, 1), VALIDITY, 0);
        pool.received(grant(4, 1), VALIDITY, 0);
        assertThat(pool.take(0), is(true));
        assertThat(pool.take(0), is(false));
    }

    /** Guards against a permit that moves a request into a much later window. */
    @Test
    void anExpiredPermitIsReturnedAndNotUsed() {
        pool.received(grant(4, 1), VALIDITY, 0);
        assertThat(pool.take(VALIDITY), is(false));
        assertThat(pool.report(VALIDITY).returnedPermits(), is(1L));
        assertThat(pool.report(VALIDITY).returnedPermits(), is(1L));
    }

    /** Guards against permits that stay unused at one instance while others wait. */
    @Test
    void permitsThatNothingNeedsAreReturned() {
        pool.received(grant(4, 2), VALIDITY, 0);
        pool.updateDemand(Optional.empty(), 0);
        assertThat(pool.report(1).returnedPermits(), is(2L));
        assertThat(pool.hasPermit(1), is(false));
    }

    /** Guards against demands of refused requests that stay at the issuer and delay others. */
    @Test
    void aDemandThatHasEndedIsReportedOnce() {
        pool.updateDemand(Optional.of(new QueuedDemand(3, 0)), 0);
        assertThat(pool.report(0).waiting(), is(3));
        pool.updateDemand(Optional.empty(), 1);
        assertThat(pool.isActive(), is(true));
        assertThat(pool.report(1).waiting(), is(0));
        assertThat(pool.isActive(), is(false));
    }
}
