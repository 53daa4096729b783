package org.basilrill.coordination.admission;

import static org.basilrill.coordination.Announcements.engine;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.RepeatedTest;

/** Guards against slots and requests lost in races between dispatch, cancellation and release. */
class ConcurrentDispatchTest {
    private static final int THREADS = 6;
    private static final int REQUESTS_PER_THREAD = 2000;

    private final DispatcherFixture fixture = new DispatcherFixture(4550);
    private final TargetAnnouncement target = engine("t1", 3, "m");
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger slotViolations = new AtomicInteger();

    @RepeatedTest(5)
    void noSlotLeaksWhenThreadsCancelAndRelease() throws Exception {
        fixture.announce(target);
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Callable<List<CompletableFuture<Assignment>>>> work = new ArrayList<>();
            for (int number = 0; number < THREADS; number++) {
                long seed = number;
                work.add(() -> sendAndCancel(new SplittableRandom(seed)));
            }
            for (Future<List<CompletableFuture<Assignment>>> done : threads.invokeAll(work)) {
                for (CompletableFuture<Assignment> future : done.get()) {
                    assertThat(future.isDone(), is(true));
                }
            }
        } finally {
            threads.shutdown();
        }
        assertThat(slotViolations.get(), is(0));
        assertThat(fixture.router().slotsInUse(target), is(0));
        assertThat(fixture.dispatcher().queuedRequests(), is(0));
        assertThat(fixture.time().scheduled(), is(0));
    }

    private List<CompletableFuture<Assignment>> sendAndCancel(SplittableRandom random) {
        List<CompletableFuture<Assignment>> futures = new ArrayList<>();
        for (int number = 0; number < REQUESTS_PER_THREAD; number++) {
            CompletableFuture<Assignment> future = fixture.dispatcher()
                    .dispatch(fixture.request("a" + random.nextInt(2), "m", 5, 10, Duration.ofHours(1)));
            if (random.nextInt(3) == 0) {
                future.cancel(false);
            }
            future.thenAccept(this::runAndRelease);
            futures.add(future);
        }
        return futures;
    }

    private void runAndRelease(Assignment assignment) {
        if (running.incrementAndGet() > target.slots()) {
            slotViolations.incrementAndGet();
        }
        running.decrementAndGet();
        assignment.release(AttemptResult.SUCCEEDED);
    }
}
