package org.basilrill.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.basilrill.api.Scheduler;
import org.junit.jupiter.api.Test;

/** Guards against cancelled timers of finished requests that stay on the heap until they are due. */
class DaemonThreadsTest {
    @Test
    void cancelledTimersAreRemovedAtOnce() {
        try (DaemonThreads threads = new DaemonThreads()) {
            Scheduler scheduler = threads.scheduler();
            for (int request = 0; request < 100; request++) {
                scheduler.schedule(Duration.ofHours(1), () -> {}).cancel();
            }
            assertThat(threads.scheduledTimers(), is(0));
        }
    }
}
