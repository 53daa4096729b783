package org.basilrill.coordination.admission;

import static org.basilrill.coordination.Announcements.engine;
import static org.basilrill.coordination.Announcements.next;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.api.Outcome;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.coordination.routing.Prompt;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.Test;

/** Guards the decisions of the dispatcher one at a time. */
class FairDispatcherTest {
    private static final long SEED = 4501;
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final DispatchBench bench = new DispatchBench(SEED);
    private final Set<Assignment> released = new HashSet<>();

    /** Guards against assigning more requests than a target has slots. */
    @Test
    void aRequestWaitsUntilASlotIsReleased() {
        bench.announce(engine("t1", 1, "m"));
        CompletableFuture<Assignment> first = bench.dispatch("a", "m");
        CompletableFuture<Assignment> second = bench.dispatch("a", "m");
        assertThat(first.isDone(), is(true));
        assertThat(second.isDone(), is(false));
        first.join().release(AttemptResult.SUCCEEDED);
        assertThat(second.isDone(), is(true));
    }

    /** Guards against new work for a target that said it is leaving. */
    @Test
    void aLeavingTargetGetsNothingNewAtOnce() {
        TargetAnnouncement target = engine("t1", 4, "m");
        bench.announce(target);
        assertThat(bench.dispatch("a", "m").isDone(), is(true));
        bench.announce(next(target, 1, true));
        assertThat(bench.dispatch("a", "m").isDone(), is(false));
    }

    /** Pattern: an adapter made way and the news of it is on its way; the request must wait for it, not fail. */
    @Test
    void aModelThatItsTargetDoesNotHoldIsWaitedForAsIfItWereNotReady() {
        ModelId adapter = new ModelId("m/a1");
        TargetAnnouncement target = engine("t1", 4, "m/a1");
        bench.announce(target);
        bench.untilReady().put(adapter, SECOND);
        bench.dispatch("a", "m/a1").join().release(AttemptResult.REFUSED_ABSENT);
        CompletableFuture<Assignment> again = bench.dispatch("a", "m/a1");
        assertThat(again.isDone(), is(false));
        assertThat(bench.waitingForCopy().get(adapter), is(1));
        bench.registry().contentChanged(target.id(), target.incarnation(), adapter, true);
        assertThat(again.isDone(), is(true));
    }

    /** Guards against refusing requests for a model that is being loaded in time. */
    @Test
    void aRequestWaitsForAModelThatBecomesReadyWithinItsDeadline() {
        ModelId model = new ModelId("cold");
        bench.untilReady().put(model, Duration.ofSeconds(5));
        CompletableFuture<Assignment> waiting = bench.dispatch("a", "cold");
        assertThat(waiting.isDone(), is(false));
        assertThat(bench.waitingForCopy().get(model), is(1));
        bench.time().advance(Duration.ofSeconds(5));
        bench.announce(engine("t1", 1, "cold"));
        assertThat(waiting.isDone(), is(true));
        assertThat(bench.waitingForCopy().get(model), is(0));
    }

    /** Guards against holding a caller whose model cannot be ready in time. */
    @Test
    void aRequestForAModelThatLoadsTooLateIsRefusedAtOnce() {
        bench.untilReady().put(new ModelId("cold"), Duration.ofSeconds(5));
        CompletableFuture<Assignment> refused =
                bench.dispatcher().dispatch(bench.request("a", "cold", 5, 1, Duration.ofSeconds(2)));
        assertThat(DispatchBench.failureOf(refused).code(), is(ErrorCode.MODEL_NOT_READY));
        assertThat(DispatchBench.failureOf(refused).outcome(), is(Outcome.NOT_RUN));
        assertThat(DispatchBench.failureOf(refused).retryAfter().orElseThrow(), is(Duration.ofSeconds(3)));
    }

    /** Guards against requests that stay queued after their deadline, and against timers left behind. */
    @Test
    void aRequestFailsAtItsDeadlineAndLeavesNoTimer() {
        CompletableFuture<Assignment> waiting = bench.dispatcher().dispatch(bench.request("a", "m", 5, 1, SECOND));
        bench.time().advance(SECOND.minusNanos(1));
        assertThat(waiting.isDone(), is(false));
        bench.time().advance(Duration.ofNanos(1));
        assertThat(DispatchBench.failureOf(waiting).code(), is(ErrorCode.MODEL_NOT_READY));
        assertThat(bench.time().scheduled(), is(0));
    }

    /** Guards against queues without a bound. */
    @Test
    void theQueueOfAnAccountIsBounded() {
        bench.announce(engine("t1", 1, "m"));
        bench.dispatch("a", "m");
        for (int number = 0; number < 256; number++) {
            assertThat(bench.dispatch("a", "m").isDone(), is(false));
        }
        CompletableFuture<Assignment> refused = bench.dispatch("a", "m");
        assertThat(DispatchBench.failureOf(refused).code(), is(ErrorCode.QUEUE_FULL));
        assertThat(DispatchBench.failureOf(refused).retryAfter().isPresent(), is(true));
        assertThat(bench.dispatch("b", "m").isDone(), is(false));
        assertThat(bench.dispatcher().waiting(), is(257));
    }

    /** Guards against queueing what cannot be served in time at the observed drain rate. */
    @Test
    void aRequestBehindTooLongAQueueIsRefusedWithARetryTime() {
        bench.announce(engine("t1", 1, "m"));
        List<CompletableFuture<Assignment>> requests = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            requests.add(bench.dispatch("a", "m"));
        }
        for (int number = 0; number < 10; number++) {
            bench.time().advance(Duration.ofMillis(100));
            requests.get(number).join().release(AttemptResult.SUCCEEDED);
        }
        CompletableFuture<Assignment> refused = bench.dispatcher().dispatch(bench.request("a", "m", 5, 1, SECOND));
        assertThat(DispatchBench.failureOf(refused).code(), is(ErrorCode.DEADLINE_UNREACHABLE));
        // 30 requests at 10 per second take 3 s, 2 s longer than the deadline allows.
        Duration retryAfter = DispatchBench.failureOf(refused).retryAfter().orElseThrow();
        assertThat(Math.abs(retryAfter.toMillis() - 2000) < 300, is(true));
        assertThat(
                bench.dispatcher()
                        .dispatch(bench.request("a", "m", 5, 1, SECOND.multipliedBy(4)))
                        .isDone(),
                is(false));
    }

    /** Guards against treating an answer "full" as a run or a failure, and against asking the same target again. */
    @Test
    void aRequestRefusedAsFullGoesToAnotherTargetAheadOfItsAccountsQueue() {
        bench.announce(engine("t1", 1, "m"));
        Dispatcher.Request request = bench.request("a", "m", 5, 100, Duration.ofSeconds(30));
        Assignment first = bench.dispatcher().dispatch(request).join();
        CompletableFuture<Assignment> behind = bench.dispatch("a", "m");
        first.release(AttemptResult.REFUSED_FULL);
        CompletableFuture<Assignment> again = bench.dispatcher().dispatch(request);
        assertThat(again.isDone(), is(false));
        bench.announce(engine("t2", 1, "m"));
        assertThat(again.isDone(), is(true));
        assertThat(again.join().target().id(), is(new TargetId("t2")));
        assertThat(behind.isDone(), is(false));
    }

    /** Guards against waiting for a target that the request must not use. */
    @Test
    void aRetryWithoutAnotherTargetIsRefused() {
        bench.announce(engine("t1", 4, "m"));
        CompletableFuture<Assignment> retry =
                bench.dispatcher().dispatch(bench.request("a", "m", 5, 1, SECOND, Set.of(new TargetId("t1"))));
        assertThat(DispatchBench.failureOf(retry).code(), is(ErrorCode.NO_TARGET));
    }

    /** Guards against a request for a busy model holding up one for an idle model of the same account. */
    @Test
    void aBusyModelDoesNotHoldUpAnother() {
        bench.announce(engine("t1", 1, "busy"));
        bench.announce(engine("t2", 1, "idle"));
        bench.dispatch("a", "busy");
        assertThat(bench.dispatch("a", "busy").isDone(), is(false));
        assertThat(bench.dispatch("a", "idle").isDone(), is(true));
    }

    /** Guards against an account that saves up service while it is idle and then shuts out the others. */
    @Test
    void anAccountThatReturnsFromIdleDoesNotCatchUp() {
        bench.announce(engine("t1", 1, "m"));
        for (int number = 0; number < 50; number++) {
            bench.dispatch("a", "m").join().release(AttemptResult.SUCCEEDED);
        }
        Assignment running = bench.dispatch("a", "m").join();
        List<CompletableFuture<Assignment>> ofA = new ArrayList<>();
        List<CompletableFuture<Assignment>> ofB = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            ofA.add(bench.dispatch("a", "m"));
            ofB.add(bench.dispatch("b", "m"));
        }
        running.release(AttemptResult.SUCCEEDED);
        for (int round = 0; round < 10; round++) {
            assignedOf(ofA, ofB).release(AttemptResult.SUCCEEDED);
        }
        assertThat(ofA.stream().filter(CompletableFuture::isDone).count(), greaterThan(3L));
        assertThat(ofB.stream().filter(CompletableFuture::isDone).count(), greaterThan(3L));
    }

    private Assignment assignedOf(List<CompletableFuture<Assignment>> one, List<CompletableFuture<Assignment>> other) {
        List<CompletableFuture<Assignment>> all = new ArrayList<>(one);
        all.addAll(other);
        return all.stream()
                .filter(CompletableFuture::isDone)
                .map(CompletableFuture::join)
                .filter(released::add)
                .findFirst()
                .orElseThrow();
    }

    /** Pattern: the only copy of a hot model has a queue; what is sent there now begins after its caller has left. */
    @Test
    void aRequestThatWouldBeginTooLateIsRefusedAtOnce() {
        bench.announce(engine("t1", 64, "hot"));
        for (int number = 0; number < 8; number++) {
            assertThat(
                    bench.dispatcher().dispatch(prompted(number, "hot", 12_000)).isDone(), is(true));
        }
        CompletableFuture<Assignment> refused = bench.dispatcher().dispatch(prompted(9, "hot", 12_000));
        assertThat(DispatchBench.failureOf(refused).code(), is(ErrorCode.DEADLINE_UNREACHABLE));
        assertThat(DispatchBench.failureOf(refused).outcome(), is(Outcome.NOT_RUN));
        assertThat(DispatchBench.failureOf(refused).retryAfter().isPresent(), is(true));
    }

    /** Pattern: the same queue, but the answers have begun, so the next request is read at once. */
    @Test
    void aRequestIsSentWhereTheAnswersHaveBegun() {
        bench.announce(engine("t1", 64, "hot"));
        for (int number = 0; number < 8; number++) {
            bench.dispatcher().dispatch(prompted(number, "hot", 12_000)).join().answered(Optional.empty());
        }
        assertThat(bench.dispatcher().dispatch(prompted(9, "hot", 12_000)).isDone(), is(true));
    }

    /** Pattern: a model has no copy and a backlog builds up that its first copy cannot read in time. */
    @Test
    void aBacklogForAModelWithoutACopyIsBounded() {
        bench.untilReady().put(new ModelId("cold"), Duration.ofSeconds(1));
        int kept = 0;
        for (int number = 0; number < 50; number++) {
            kept += bench.dispatcher().dispatch(prompted(number, "cold", 8_000)).isDone() ? 0 : 1;
        }
        // One second is left after the load; 40 tokens are read in a millisecond.
        assertThat(kept, is(5));
    }

    /** Pattern: a model becomes ready just before the callers who wait for it leave; reading for them is in vain. */
    @Test
    void aRequestThatWaitedTooLongIsNotSentWhenItsModelBecomesReady() {
        CompletableFuture<Assignment> small = bench.dispatcher().dispatch(prompted(1, "cold", 4_000));
        CompletableFuture<Assignment> large = bench.dispatcher().dispatch(prompted(2, "cold", 30_000));
        bench.time().advance(Duration.ofMillis(1_800));
        bench.announce(engine("t1", 64, "cold"));
        assertThat(small.isDone() && !small.isCompletedExceptionally(), is(true));
        assertThat(DispatchBench.failureOf(large).code(), is(ErrorCode.DEADLINE_UNREACHABLE));
        assertThat(bench.dispatcher().waiting(), is(0));
    }

    private Dispatcher.Request prompted(int number, String model, long tokens) {
        return new Dispatcher.Request(
                "p" + number,
                Optional.of(new AccountId("a")),
                Dispatcher.Destination.ofModel(new ModelId(model)),
                5,
                tokens,
                bench.time().nanos() + Duration.ofSeconds(2).toNanos(),
                Set.of(),
                new Prompt(List.of((long) number), List.of(tokens)));
    }
}
