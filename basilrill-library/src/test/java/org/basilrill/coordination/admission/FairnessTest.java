package org.basilrill.coordination.admission;

import static org.basilrill.coordination.Announcements.engine;
import static org.basilrill.coordination.Announcements.withChanges;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.basilrill.api.AccountId;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.junit.jupiter.api.Test;

/** Tests the shares of client accounts and priority classes while all of them have queued requests. */
class FairnessTest {
    private static final Duration LONG_TIMEOUT = Duration.ofHours(1);
    private static final int MAX_TOKENS = 1000;
    private static final int DISPATCHES = 400;

    private final Map<String, Long> servedTokens = new TreeMap<>();
    private final Map<Integer, Integer> servedByClass = new TreeMap<>();
    private Assignment running;

    /**
     * Guards against shares that do not follow the weights. At any time, the tokens served per weight of two accounts
     * with queued requests may differ by at most one largest request of each.
     */
    @Property(seed = "4504", tries = 60)
    void sharesOfBusyAccountsFollowTheWeights(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed, @ForAll @IntRange(min = 2, max = 6) int accounts) {
        SplittableRandom random = new SplittableRandom(seed);
        DispatcherFixture fixture = new DispatcherFixture(seed);
        for (int number = 0; number < accounts; number++) {
            fixture.weights().put(new AccountId("a" + number), 1 + random.nextInt(5));
        }
        occupyOnlySlot(fixture);
        for (int number = 0; number < accounts; number++) {
            keepQueued(fixture, "a" + number, "m", 5, random);
            keepQueued(fixture, "a" + number, "m", 5, random);
        }
        servedTokens.clear();
        for (int dispatch = 0; dispatch < DISPATCHES; dispatch++) {
            fixture.time().advance(Duration.ofMillis(10));
            running.release(AttemptResult.SUCCEEDED);
            checkShares(fixture);
        }
    }

    /**
     * Guards against a class with queued requests that gets less than a tenth of the dispatches, and against ignored
     * priorities.
     */
    @Property(seed = "4505", tries = 40)
    void noQueuedClassStarves(
            @ForAll @LongRange(min = 0, max = 1 << 30) long seed, @ForAll @IntRange(min = 2, max = 8) int classes) {
        SplittableRandom random = new SplittableRandom(seed);
        DispatcherFixture fixture = new DispatcherFixture(seed);
        occupyOnlySlot(fixture);
        for (int priority = 0; priority < classes; priority++) {
            keepQueued(fixture, "a" + random.nextInt(3), "m", priority, random);
            keepQueued(fixture, "a" + random.nextInt(3), "m", priority, random);
        }
        servedByClass.clear();
        for (int dispatch = 0; dispatch < DISPATCHES; dispatch++) {
            running.release(AttemptResult.SUCCEEDED);
        }
        for (int priority = 0; priority < classes; priority++) {
            assertThat(servedByClass.getOrDefault(priority, 0), greaterThanOrEqualTo(DISPATCHES / 10 - 2));
        }
        int shareOfOthers = DISPATCHES / 10 * (classes - 1);
        assertThat(servedByClass.get(0), greaterThanOrEqualTo(DISPATCHES - shareOfOthers - 2 * classes));
    }

    /** Guards against a class that accumulates credit while all its targets are busy and then starves the others. */
    @Test
    void aClassThatWaitedForItsModelDoesNotStarveTheOthersAfterwards() {
        SplittableRandom random = new SplittableRandom(4506);
        DispatcherFixture fixture = new DispatcherFixture(4506);
        occupyOnlySlot(fixture);
        for (int number = 0; number < 100; number++) {
            keepQueued(fixture, "late", "cold", 9, random);
        }
        keepQueued(fixture, "a", "m", 0, random);
        keepQueued(fixture, "a", "m", 0, random);
        for (int dispatch = 0; dispatch < DISPATCHES; dispatch++) {
            running.release(AttemptResult.SUCCEEDED);
        }
        servedByClass.clear();
        fixture.announce(withChanges(engine("t1", 1, "m", "cold"), 1, 2, 3_600_000, 1, false));
        for (int dispatch = 0; dispatch < 40; dispatch++) {
            running.release(AttemptResult.SUCCEEDED);
        }
        assertThat(servedByClass.get(0), greaterThanOrEqualTo(30));
    }

    private void occupyOnlySlot(DispatcherFixture fixture) {
        fixture.announce(engine("t1", 1, "m"));
        running = fixture.dispatch("occupier", "m").join();
    }

    /** Sends a request and, as soon as it is served, the next one of the same account and class. */
    private void keepQueued(
            DispatcherFixture fixture, String account, String model, int priority, SplittableRandom random) {
        Request request = fixture.request(account, model, priority, 1 + random.nextInt(MAX_TOKENS), LONG_TIMEOUT);
        fixture.dispatcher().dispatch(request).thenAccept(assignment -> {
            running = assignment;
            servedTokens.merge(account, request.tokens(), Long::sum);
            servedByClass.merge(priority, 1, Integer::sum);
            keepQueued(fixture, account, model, priority, random);
        });
    }

    private void checkShares(DispatcherFixture fixture) {
        fixture.weights()
                .forEach((one, oneWeight) -> fixture.weights().forEach((other, otherWeight) -> {
                    double ofOne = servedTokens.getOrDefault(one.value(), 0L) / (double) oneWeight;
                    double ofOther = servedTokens.getOrDefault(other.value(), 0L) / (double) otherWeight;
                    double bound = MAX_TOKENS / (double) oneWeight + MAX_TOKENS / (double) otherWeight;
                    assertThat(Math.abs(ofOne - ofOther), lessThanOrEqualTo(bound));
                }));
    }
}
