package org.basilrill.coordination.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.basilrill.api.VirtualTime;

/** Guards against retries that multiply the load, and against an idle instance that cannot retry. */
class SlidingRetryBudgetTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    /** Compares each result with a plain list of all requests and retries of the last ten whole seconds. */
    @Property(seed = "4540", tries = 100)
    void retriesStayWithinATenthOfRecentRequests(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        VirtualTime time = new VirtualTime();
        time.advance(Duration.ofNanos(seed));
        long origin = time.nanos();
        RetryBudget budget = new SlidingRetryBudget(time);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (int step = 0; step < 1500; step++) {
            long second = (time.nanos() - origin) / SECOND;
            int action = random.nextInt(20);
            if (action < 14) {
                budget.requestStarted();
                requests.add(second);
            } else if (action < 19) {
                long allowed = Math.max(10, recent(requests, second) / 10);
                boolean expected = recent(retries, second) < allowed;
                assertThat(budget.tryRetry(), is(expected));
                if (expected) {
                    retries.add(second);
                }
            } else {
                time.advance(Duration.ofMillis(random.nextInt(random.nextInt(100) == 0 ? 30_000 : 300)));
            }
        }
    }

    private static long recent(List<Long> seconds, long now) {
        return seconds.stream().filter(second -> second > now - 10).count();
    }
}
