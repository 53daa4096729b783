package org.basilrill.coordination.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Runs random requests, cancellations, failures, announcements and restarts against the reference model of {@link
 * DispatchModel}, which checks every assignment and every step.
 */
class DispatcherFuzzTest {
    private static final int STEPS = 400;

    /**
     * Guards against lost requests, double dispatch, leaked slots, queues and targets above their limits, late
     * assignments, and requests to targets that are excluded, ejected, leaving, expired or not ready.
     */
    @Property(seed = "4502", tries = 150)
    void everyRequestEndsOnceAndEverySlotIsReleased(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DispatchModel model = new DispatchModel(seed, 1 + random.nextInt(4));
        for (int step = 0; step < STEPS; step++) {
            randomStep(model, random);
            model.checkInvariants();
        }
        model.finish();
    }

    /**
     * Guards against requests that stay queued although their target is idle, because no event triggers their dispatch.
     */
    @Property(seed = "4503", tries = 100)
    void noRequestWaitsForAnIdleTarget(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DispatchModel model = new DispatchModel(seed, 1);
        for (int step = 0; step < STEPS / 4; step++) {
            randomStep(model, random);
        }
        model.announceAllIdle();
        model.time().advance(Duration.ofSeconds(31));
        for (int round = 0; round < 5; round++) {
            model.dispatch(random, Duration.ofHours(1));
        }
        // Each round ends all running requests, so that all queued requests for a known model must be dispatched in
        // turn.
        for (int round = 0; round < 3000 && model.running() > 0; round++) {
            model.releaseAllAsSucceeded();
            model.time().advance(Duration.ofMillis(20));
        }
        assertThat(model.queuedWithUsableTarget(), is(0L));
    }

    private static void randomStep(DispatchModel model, SplittableRandom random) {
        int action = random.nextInt(100);
        if (action < 45) {
            model.dispatch(random, Duration.ofMillis(random.nextInt(1, 4000)));
        } else if (action < 70) {
            model.releaseOne(random);
        } else if (action < 76) {
            model.cancelOne(random);
        } else if (action < 88) {
            model.time().advance(Duration.ofMillis(random.nextInt(1, 300)));
        } else if (action < 97) {
            model.announceOne(random);
        } else if (action < 98) {
            model.time().advance(Duration.ofMillis(random.nextInt(1000, 5000)));
        } else {
            model.expire();
        }
    }
}
