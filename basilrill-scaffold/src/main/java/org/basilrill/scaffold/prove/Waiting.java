package org.basilrill.scaffold.prove;

import java.time.Duration;

/** Polls conditions until they hold. Stateless. */
final class Waiting {
    private static final long POLL_MILLIS = 50;

    private Waiting() {}

    /** A condition that is checked repeatedly. */
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds and returns the time waited; fails if it does not hold within the limit. */
    static Duration until(String expected, Duration limit, Condition condition) throws Exception {
        long start = System.nanoTime();
        while (!condition.holds()) {
            if (System.nanoTime() - start > limit.toNanos()) {
                throw new ScenarioFailure(expected + " within " + limit.toMillis() + " ms", "not within that time");
            }
            Thread.sleep(POLL_MILLIS);
        }
        return Duration.ofNanos(System.nanoTime() - start);
    }

    static void sleepMillis(long duration) throws InterruptedException {
        Thread.sleep(duration);
    }
}
