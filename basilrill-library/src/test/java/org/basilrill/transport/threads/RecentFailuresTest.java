package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Records failures of a replica at different times. */
class RecentFailuresTest {
    private static final RuntimeException FAILURE = new IllegalStateException("failure");

    /** Guards against a process that lives on while its replica fails again and again. */
    @Test
    void theSeventhFailureInARowIsAnError() {
        RecentFailures failures = new RecentFailures();
        for (int earlier = 0; earlier < 6; earlier++) {
            assertThat(failures.record(FAILURE, Duration.ofSeconds(earlier).toNanos()), is(earlier));
        }
        assertThrows(
                ReplicaError.class,
                () -> failures.record(FAILURE, Duration.ofSeconds(6).toNanos()));
    }

    /** Guards against single failures, days apart, that end the process. */
    @Test
    void failuresFarApartAreNoError() {
        RecentFailures failures = new RecentFailures();
        for (int hour = 0; hour < 20; hour++) {
            assertThat(failures.record(FAILURE, Duration.ofHours(hour).toNanos()), is(0));
        }
    }
}
