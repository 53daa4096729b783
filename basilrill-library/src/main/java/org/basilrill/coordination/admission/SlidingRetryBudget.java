package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.function.ToDoubleFunction;
import org.basilrill.api.MonotonicClock;

/**
 * Allows retries up to a share of the requests of the last ten seconds. A minimum number of retries is always allowed
 * in that time, so that an instance with few requests can retry. Thread safe: guarded by its own lock.
 */
public final class SlidingRetryBudget implements RetryBudget {
    static final int MINIMUM_RETRIES = 10;
    static final int REQUESTS_PER_RETRY = 10;

    private static final int BUCKETS = 10;
    private static final long BUCKET_NANOS = Duration.ofSeconds(1).toNanos();

    private final MonotonicClock clock;
    private final ToDoubleFunction<Long> allowance;
    private final long originNanos;
    private final long[] requests = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long currentBucket;

    /** Creates a budget of one tenth of the requests, and at least ten retries. */
    public SlidingRetryBudget(MonotonicClock clock) {
        this(clock, requests -> Math.max(MINIMUM_RETRIES, requests / REQUESTS_PER_RETRY));
    }

    /**
     * Creates a budget with a given allowance.
     *
     * @param allowance maps the number of requests in ten seconds to the retries allowed in that time
     */
    public SlidingRetryBudget(MonotonicClock clock, ToDoubleFunction<Long> allowance) {
        this.clock = clock;
        this.allowance = allowance;
        this.originNanos = clock.nanos();
    }

    @Override
    public synchronized void requestStarted() {
        advance();
        requests[(int) (currentBucket % BUCKETS)]++;
    }

    @Override
    public synchronized boolean tryRetry() {
        advance();
        if (sum(retries) + 1 > allowance.applyAsDouble(sum(requests))) {
            return false;
        }
        retries[(int) (currentBucket % BUCKETS)]++;
        return true;
    }

    private void advance() {
        long bucket = (clock.nanos() - originNanos) / BUCKET_NANOS;
        long expired = Math.min(bucket - currentBucket, BUCKETS);
        for (long offset = 0; offset < expired; offset++) {
            int index = (int) ((bucket - offset) % BUCKETS);
            requests[index] = 0;
            retries[index] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private static long sum(long[] counts) {
        long total = 0;
        for (long count : counts) {
            total += count;
        }
        return total;
    }
}
