package org.basilrill.coordination.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.Announcements;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.basilrill.state.target.TargetAnnouncement;

/** Reference model of a dispatcher: records submitted requests and their results, and checks them after every step. */
final class DispatchModel {
    private static final int QUEUE_LIMIT = 6;
    private static final int TARGETS = 5;
    private static final int MODELS = 4;
    private static final long TIME_TO_LIVE_MILLIS = 4000;

    private final DispatcherFixture fixture;
    private final List<SubmittedRequest> submitted = new ArrayList<>();
    private final List<RunningAssignment> running = new ArrayList<>();
    private final Set<String> assignedRequests = new HashSet<>();
    private final List<AssertionError> failedChecks = new ArrayList<>();
    private final Map<Integer, TargetAnnouncement> announced = new TreeMap<>();
    private final Map<String, HealthOracle> health = new HashMap<>();

    DispatchModel(long seed, int instances) {
        fixture = new DispatcherFixture(seed, instances, QUEUE_LIMIT);
    }

    VirtualTime time() {
        return fixture.time();
    }

    int running() {
        return running.size();
    }

    void dispatch(SplittableRandom random, Duration timeout) {
        Set<TargetId> excluded =
                random.nextInt(10) == 0 ? Set.of(new TargetId("t" + random.nextInt(TARGETS))) : Set.of();
        Request request = fixture.request(
                "a" + random.nextInt(3),
                "m" + random.nextInt(MODELS),
                random.nextInt(3),
                random.nextInt(1, 1000),
                timeout,
                excluded);
        CompletableFuture<Assignment> future = fixture.dispatcher().dispatch(request);
        submitted.add(new SubmittedRequest(request, future));
        future.thenAccept(assignment -> assigned(request, assignment)).whenComplete((done, failure) -> {
            // Otherwise the future would swallow the failed check.
            if (failure != null && failure.getCause() instanceof AssertionError) {
                failedChecks.add((AssertionError) failure.getCause());
            }
        });
    }

    void releaseOne(SplittableRandom random) {
        if (running.isEmpty()) {
            return;
        }
        AttemptResult[] results = AttemptResult.values();
        // Half succeed; the others end with a random result.
        AttemptResult result = random.nextBoolean() ? AttemptResult.SUCCEEDED : results[random.nextInt(results.length)];
        release(running.remove(random.nextInt(running.size())), result);
    }

    void releaseAllAsSucceeded() {
        List<RunningAssignment> ending = List.copyOf(running);
        running.clear();
        ending.forEach(entry -> release(entry, AttemptResult.SUCCEEDED));
    }

    void cancelOne(SplittableRandom random) {
        List<SubmittedRequest> open =
                submitted.stream().filter(entry -> !entry.future().isDone()).toList();
        if (!open.isEmpty()) {
            open.get(random.nextInt(open.size())).future().cancel(false);
        }
    }

    void announceOne(SplittableRandom random) {
        int number = random.nextInt(TARGETS);
        TargetAnnouncement last = announced.get(number);
        long incarnation = last == null ? 1 : last.incarnation() + (random.nextInt(8) == 0 ? 1 : 0);
        long sequence = last == null || incarnation != last.incarnation() ? 1 : last.sequence() + random.nextInt(-1, 3);
        boolean leaving = random.nextInt(5) == 0;
        announce(number, incarnation, sequence, TIME_TO_LIVE_MILLIS, random.nextInt(5), leaving);
    }

    void announceAllIdle() {
        for (int number = 0; number < TARGETS; number++) {
            TargetAnnouncement last = announced.get(number);
            announce(
                    number,
                    last == null ? 1 : last.incarnation(),
                    last == null ? 1 : last.sequence() + 9,
                    3_600_000,
                    0,
                    false);
        }
    }

    void expire() {
        fixture.registry().expire();
    }

    /** Checks slots, queue limits and deadlines after a step. */
    void checkInvariants() {
        failedChecks.forEach(failure -> {
            throw failure;
        });
        for (int number = 0; number < TARGETS; number++) {
            TargetAnnouncement last = announced.get(number);
            if (last != null) {
                assertThat(fixture.router().slotsInUse(last), is((int) runningAt(last)));
            }
        }
        Map<String, Long> queued = submitted.stream()
                .filter(entry -> !entry.future().isDone())
                .collect(Collectors.groupingBy(
                        entry -> entry.request().account() + "/"
                                + entry.request().priority(),
                        Collectors.counting()));
        queued.values().forEach(count -> assertThat(count, lessThanOrEqualTo((long) QUEUE_LIMIT)));
        assertThat(
                (long) fixture.dispatcher().queuedRequests(),
                is(submitted.stream().filter(entry -> !entry.future().isDone()).count()));
        submitted.removeIf(entry -> entry.future().isDone());
    }

    /** Lets every deadline pass and every request end, then checks that no requests, slots or timers are left. */
    void finish() {
        time().advance(Duration.ofSeconds(10));
        checkInvariants();
        assertThat(submitted.stream().filter(entry -> !entry.future().isDone()).count(), is(0L));
        assertThat(fixture.dispatcher().queuedRequests(), is(0));
        assertThat(time().scheduled(), is(0));
        releaseAllAsSucceeded();
        announced.values().forEach(last -> assertThat(fixture.router().slotsInUse(last), is(0)));
    }

    long queuedWithUsableTarget() {
        return submitted.stream()
                .filter(entry -> !entry.future().isDone())
                .filter(entry ->
                        fixture
                                .registry()
                                .readyFor(entry.request().destination().model().orElseThrow())
                                .stream()
                                .anyMatch(target ->
                                        !entry.request().excludedTargets().contains(target.id())))
                .count();
    }

    private void announce(int number, long incarnation, long sequence, long timeToLive, int load, boolean leaving) {
        // Models n and n + 1 are resident on target n, so that most models have two copies. Model 0 has one without
        // target 4.
        TargetAnnouncement base =
                Announcements.engine("t" + number, 1 + number % 3, "m" + number % MODELS, "m" + (number + 1) % MODELS);
        TargetAnnouncement next = Announcements.withChanges(base, incarnation, sequence, timeToLive, load, leaving);
        if (announced.get(number) == null || next.isNewerThan(announced.get(number))) {
            announced.put(number, next);
        }
        fixture.announce(next);
    }

    private void assigned(Request request, Assignment assignment) {
        TargetAnnouncement target = assignment.target();
        ModelId model = request.destination().model().orElseThrow();
        assertThat("dispatched once", assignedRequests.add(request.requestId()), is(true));
        assertThat("in time", time().nanos() < request.deadlineNanos(), is(true));
        assertThat("excluded", request.excludedTargets().contains(target.id()), is(false));
        TargetAnnouncement last = fixture.registry().target(target.id()).orElseThrow();
        assertThat("current", last, is(target));
        assertThat("usable", !last.leaving() && last.isReadyFor(model), is(true));
        HealthOracle oracle = healthOf(target);
        assertThat("not ejected", oracle.mayStart(time().nanos()), is(true));
        running.add(new RunningAssignment(assignment, oracle.started()));
        assertThat("slots", runningAt(target), lessThanOrEqualTo((long) target.slots()));
    }

    private void release(RunningAssignment entry, AttemptResult result) {
        healthOf(entry.assignment().target()).ended(entry.probe(), result, time().nanos());
        entry.assignment().release(result);
        entry.assignment().release(AttemptResult.FAILED);
    }

    private long runningAt(TargetAnnouncement target) {
        return running.stream()
                .map(entry -> entry.assignment().target())
                .filter(used -> used.id().equals(target.id()) && used.incarnation() == target.incarnation())
                .count();
    }

    private HealthOracle healthOf(TargetAnnouncement target) {
        return health.computeIfAbsent(target.id() + "/" + target.incarnation(), key -> new HealthOracle());
    }

    /** A request submitted to the dispatcher. */
    private record SubmittedRequest(Request request, CompletableFuture<Assignment> future) {}

    /** An assignment that has not been released. */
    private record RunningAssignment(Assignment assignment, boolean probe) {}

    /**
     * Decides independently of the implementation when a target may receive a request, following the specification.
     */
    private static final class HealthOracle {
        private int failures;
        private int ejections;
        private boolean probeRunning;
        private long until;

        boolean mayStart(long now) {
            return ejections == 0 || (!probeRunning && now >= until);
        }

        boolean started() {
            probeRunning = ejections > 0;
            return probeRunning;
        }

        void ended(boolean probe, AttemptResult result, long now) {
            if (ejections > 0 && !probe) {
                return;
            }
            probeRunning = false;
            if (result == AttemptResult.SUCCEEDED) {
                failures = 0;
                ejections = 0;
                return;
            }
            if (result != AttemptResult.FAILED && result != AttemptResult.TIMED_OUT) {
                return;
            }
            failures++;
            if (probe || failures >= 3 || result == AttemptResult.TIMED_OUT) {
                ejections++;
                until = now
                        + Duration.ofSeconds(Math.min(30, 1L << Math.min(5, ejections - 1)))
                                .toNanos();
            }
        }
    }
}
