package org.basilrill.protocol.observation;

import com.codahale.metrics.Metric;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/** Counts durations in fixed ranges, so that the counts of all instances can be summed. Thread safe. */
public final class LatencyHistogram implements Metric {
    /** Inclusive upper bounds of the ranges, in milliseconds. One additional range counts all longer durations. */
    private static final long[] BOUNDS_MILLIS = {5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000};

    private final AtomicLongArray counts = new AtomicLongArray(BOUNDS_MILLIS.length + 1);
    private final LongAdder totalNanos = new LongAdder();

    /** Counts one duration, in nanoseconds. */
    public void add(long nanos) {
        int range = 0;
        while (range < BOUNDS_MILLIS.length && nanos > TimeUnit.MILLISECONDS.toNanos(BOUNDS_MILLIS[range])) {
            range++;
        }
        counts.incrementAndGet(range);
        totalNanos.add(nanos);
    }

    /** Returns the upper bounds of all ranges but the last, in milliseconds. */
    static List<Long> boundsMillis() {
        return Arrays.stream(BOUNDS_MILLIS).boxed().toList();
    }

    /** Returns the number of durations in the range with this number. */
    long count(int range) {
        return counts.get(range);
    }

    /** Returns the sum of all durations, in nanoseconds. */
    long totalNanos() {
        return totalNanos.sum();
    }
}
