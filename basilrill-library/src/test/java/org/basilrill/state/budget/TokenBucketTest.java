package org.basilrill.state.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.api.Test;

/** Guards the exact token accounting of a bucket with grants. */
class TokenBucketTest {
    private static final long SECOND = 1_000_000_000L;

    /** Guards against refill beyond the burst while grants are unspent. */
    @Test
    void levelPlusOutstandingNeverExceedsTheBurst() {
        TokenBucket bucket = new TokenBucket(100, 1000, 1000, 0);
        bucket.grant(key(1), 600, 0, 5 * SECOND);
        bucket.advance(4 * SECOND);
        assertThat(bucket.level(), is(400L));
        assertThat(bucket.outstanding(), is(600L));
    }

    /** Guards against tokens that are granted again although the holder of a lost grant may have spent them. */
    @Test
    void anExpiredGrantCountsAsSpent() {
        TokenBucket bucket = new TokenBucket(100, 1000, 1000, 0);
        bucket.grant(key(1), 600, 0, 2 * SECOND);
        bucket.advance(3 * SECOND);
        assertThat(bucket.outstanding(), is(0L));
        assertThat(bucket.level(), is(500L));
    }

    /** Guards against a repeated return that credits a grant twice. */
    @Test
    void aGrantIsReturnedOnce() {
        TokenBucket bucket = new TokenBucket(0, 1000, 1000, 0);
        bucket.grant(key(1), 600, 0, 2 * SECOND);
        assertThat(bucket.close(key(1), 500, 1), is(500L));
        assertThat(bucket.close(key(1), 500, 1), is(0L));
        assertThat(bucket.level(), is(900L));
    }

    /** Guards against a return of more than the owner knows to be unspent. */
    @Test
    void aReturnIsLimitedByWhatWasReportedSpent() {
        TokenBucket bucket = new TokenBucket(0, 1000, 1000, 0);
        bucket.grant(key(1), 600, 0, 2 * SECOND);
        bucket.reportRemaining(key(1), 100, 1);
        assertThat(bucket.close(key(1), 600, 2), is(100L));
    }

    /**
     * Guards against a second burst at once: the bucket was full since the charge, so there is no headroom to refund.
     */
    @Test
    void aRefundAfterTheBucketWasFullCreditsNothing() {
        TokenBucket bucket = new TokenBucket(100, 1000, 1000, 0);
        spend(bucket, 1, 1000, 0);
        spend(bucket, 2, 1000, 10 * SECOND);
        assertThat(bucket.refund(key(1), 1000, 0, 10 * SECOND + 1), is(0L));
    }

    /** Guards against refunds that are lost although the headroom existed at all times since the charge. */
    @Test
    void aRefundCreditsTheHeadroomSinceTheCharge() {
        TokenBucket bucket = new TokenBucket(100, 1000, 1000, 0);
        spend(bucket, 1, 800, 0);
        bucket.advance(2 * SECOND);
        assertThat(bucket.refund(key(1), 700, 0, 2 * SECOND), is(600L));
        assertThat(bucket.level(), is(1000L));
    }

    /** Guards against tokens that appear or vanish through rounding when time passes in small steps. */
    @Test
    void refillIsExactInSmallSteps() {
        TokenBucket bucket = new TokenBucket(7, 1000, 0, 0);
        for (long nanos = 0; nanos <= 10 * SECOND; nanos += 333_333) {
            bucket.advance(nanos);
        }
        bucket.advance(10 * SECOND);
        assertThat(bucket.level(), is(70L));
    }

    /** Guards against an overflow after a long idle time. */
    @Test
    void aLongIdleTimeFillsTheBucketOnce() {
        TokenBucket bucket = new TokenBucket(1_000_000_000L, 5_000_000_000L, 0, 0);
        bucket.advance(Long.MAX_VALUE);
        assertThat(bucket.level(), is(5_000_000_000L));
    }

    /** Guards against tokens that a lowered burst no longer allows, and against a jump when it is raised. */
    @Test
    void aLowerBurstRemovesTokensAndAHigherBurstAddsNone() {
        TokenBucket bucket = new TokenBucket(100, 1000, 1000, 0);
        bucket.configure(100, 300, 0);
        assertThat(bucket.level(), is(300L));
        bucket.configure(100, 5000, 0);
        assertThat(bucket.level(), is(300L));
    }

    /** Guards against a retry time at which the tokens are not available yet. */
    @Property(tries = 300, seed = "4714", shrinking = ShrinkingMode.OFF)
    void theTokensAreAvailableAfterTheReturnedWait(@ForAll long seed) {
        Random random = new Random(seed);
        long burst = 10 + random.nextInt(1000);
        TokenBucket bucket = new TokenBucket(1 + random.nextInt(500), burst, random.nextInt((int) burst), 0);
        for (int grant = 1; grant < 5 && bucket.level() > 0; grant++) {
            bucket.grant(key(grant), 1 + random.nextLong(bucket.level()), 0, 1 + random.nextLong(2 * SECOND));
        }
        long requested = 1 + random.nextLong(burst);
        long wait = bucket.nanosUntil(requested, 0);
        bucket.advance(wait);
        assertThat("seed " + seed, bucket.level(), is(greaterThanOrEqualTo(requested)));
    }

    /** Guards the bound on net spending in every window, with refunds at any time. */
    @Property(tries = 300, seed = "4715", shrinking = ShrinkingMode.OFF)
    void netSpendingStaysWithinRateAndBurstInEveryWindow(@ForAll long seed) {
        Random random = new Random(seed);
        long rate = 1 + random.nextInt(300);
        long burst = 10 + random.nextInt(1000);
        TokenBucket bucket = new TokenBucket(rate, burst, burst, 0);
        List<long[]> charges = new ArrayList<>();
        long now = 0;
        for (int step = 1; step <= 120; step++) {
            now += random.nextLong(SECOND);
            bucket.advance(now);
            if (random.nextBoolean() && bucket.level() > 0) {
                long tokens = 1 + random.nextLong(bucket.level());
                spend(bucket, step, tokens, now);
                charges.add(new long[] {now, tokens, step});
            } else if (!charges.isEmpty()) {
                long[] charge = charges.get(random.nextInt(charges.size()));
                long unused = random.nextLong(charge[1] + 1);
                bucket.refund(key(charge[2]), unused, charge[0], now);
                charge[1] -= unused;
            }
        }
        for (int first = 0; first < charges.size(); first++) {
            long spent = 0;
            for (long[] charge : charges.subList(first, charges.size())) {
                spent += charge[1];
                double refill = (double) rate * (charge[0] - charges.get(first)[0]) / SECOND;
                assertThat("seed " + seed, (double) spent, is(lessThanOrEqualTo(burst + refill + 1e-6)));
            }
        }
    }

    private static void spend(TokenBucket bucket, long number, long tokens, long now) {
        bucket.grant(key(number), tokens, now, now + SECOND);
        bucket.close(key(number), 0, now);
    }

    private static GrantKey key(long number) {
        return new GrantKey(new InstanceId("requester"), 1, number);
    }
}
