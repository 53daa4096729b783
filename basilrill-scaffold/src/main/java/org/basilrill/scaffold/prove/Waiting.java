package org.basilrill.scaffold.prove;

import java.time.Duration;

/** Waits for conditions of other processes. Stateless. */
final class Waiting {
    private static final long POLL_MILLIS = 50;

    private Waiting() {}

    /** A condition that is asked again and again. */
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds and returns how long that took; fails if it does not within the limit. */
    static Duration until(String expected, Duration limit, Condition condition) throws Exception {
        long start = System.nanoTime();
        while (!condition.holds()) {
            if (System.nanoTime() - start > limit.toNanos()) {
                throw new ProofFailure(expected + " within " + limit.toMillis() + " ms", "not within that time");
            }
            Thread.sleep(POLL_MILLIS);
        }
        return Duration.ofNanos(System.nanoTime() - start);
    }

    static void millis(long duration) throws InterruptedException {
        Thread.sleep(duration);
    }
}
