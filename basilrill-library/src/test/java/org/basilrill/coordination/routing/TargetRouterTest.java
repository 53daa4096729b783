package org.basilrill.coordination.routing;

import static org.basilrill.coordination.Announcements.engine;
import static org.basilrill.coordination.Announcements.next;
import static org.basilrill.coordination.Announcements.withChanges;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.Test;

/** Tests the choice of targets, the slots left to other instances, and ejection. */
class TargetRouterTest {
    private static final long SEED = 4520;

    private final VirtualTime time = new VirtualTime();

    /**
     * Guards against an ejection whose duration does not double or never ends, and against more than one concurrent
     * probe.
     */
    @Test
    void anEjectedTargetIsProbedOnceAfterEachEjection() {
        TargetRouter router = router("one", 1);
        TargetAnnouncement target = engine("t1", 8, "m");
        for (int failure = 0; failure < 3; failure++) {
            router.release(acquire(router, target).orElseThrow(), SlotResult.FAILED);
        }
        long[] expectedSeconds = {1, 2, 4, 8, 16, 30, 30};
        for (long seconds : expectedSeconds) {
            time.advance(Duration.ofSeconds(seconds).minusNanos(1));
            assertThat(acquire(router, target).isPresent(), is(false));
            time.advance(Duration.ofNanos(1));
            AcquiredSlot probe = acquire(router, target).orElseThrow();
            assertThat(acquire(router, target).isPresent(), is(false));
            router.release(probe, SlotResult.FAILED);
        }
        time.advance(Duration.ofSeconds(30));
        router.release(acquire(router, target).orElseThrow(), SlotResult.SUCCEEDED);
        acquire(router, target).orElseThrow();
        assertThat(acquire(router, target).isPresent(), is(true));
    }

    /** Guards against keeping an unresponsive target in use until three requests have timed out. */
    @Test
    void oneProgressTimeoutEjects() {
        TargetRouter router = router("one", 1);
        TargetAnnouncement target = engine("t1", 8, "m");
        router.release(acquire(router, target).orElseThrow(), SlotResult.TIMED_OUT);
        assertThat(acquire(router, target).isPresent(), is(false));
    }

    /** Guards against counting slots or failures of the previous incarnation against a restarted target. */
    @Test
    void aNewIncarnationStartsWithFreeSlotsAndGoodHealth() {
        TargetRouter router = router("one", 1);
        TargetAnnouncement target = engine("t1", 1, "m");
        AcquiredSlot old = acquire(router, target).orElseThrow();
        TargetAnnouncement restarted = withChanges(target, 2, 1, 2000, 0, false);
        AcquiredSlot slot = acquire(router, restarted).orElseThrow();
        router.release(old, SlotResult.TIMED_OUT);
        router.release(slot, SlotResult.SUCCEEDED);
        assertThat(acquire(router, restarted).isPresent(), is(true));
    }

    /** Guards against one instance using all free slots between two reports. */
    @Test
    void anInstanceLeavesFreeSlotsToTheOthersUntilTheNextReport() {
        TargetRouter router = router("one", 4);
        TargetAnnouncement target = engine("t1", 16, "m");
        assertThat(acquireAll(router, target), is(8));
        // 12 requests run: 8 of this instance and 4 of others. Two of the 4 free slots are available to this instance.
        TargetAnnouncement report = next(target, 12, false);
        assertThat(acquireAll(router, report), is(2));
    }

    /** Guards against an instance that gets no slots because the others reuse their slots at a full target. */
    @Test
    void anInstanceMayAlwaysUseItsEqualShareOfABusyTarget() {
        TargetRouter router = router("one", 4);
        TargetAnnouncement busy = next(engine("t1", 16, "m"), 16, false);
        assertThat(acquireAll(router, busy), is(4));
    }

    /** Guards against sending requests to a full target before its back-off ends. */
    @Test
    void aTargetThatRefusesAsFullIsSkippedDuringItsBackOff() {
        TargetRouter router = router("one", 1);
        TargetAnnouncement target = engine("t1", 8, "m");
        router.release(acquire(router, target).orElseThrow(), SlotResult.REFUSED_FULL);
        assertThat(acquire(router, target).isPresent(), is(false));
        time.advance(RoutingOptions.defaults().fullBackOff());
        assertThat(acquire(router, target).isPresent(), is(true));
    }

    /** Guards against ignored load: the less loaded of two targets must always be chosen. */
    @Test
    void theLessLoadedOfTwoTargetsIsChosen() {
        TargetRouter router = router("one", 1);
        TargetAnnouncement busy = next(engine("t1", 16, "m"), 10, false);
        TargetAnnouncement idle = next(engine("t2", 16, "m"), 2, false);
        for (int number = 0; number < 5; number++) {
            assertThat(acquire(router, busy, idle).orElseThrow().target().id(), is(idle.id()));
        }
    }

    /** Guards against sending a prompt to a target without its cached prefix although an equal target has it. */
    @Test
    void aCachedPrefixAttractsRequestsUnlessTheTargetIsBusier() {
        TargetRouter router = router("one", 1);
        List<Long> prefix = List.of(1L, 2L, 3L);
        TargetAnnouncement one = engine("t1", 8, "m");
        TargetAnnouncement other = engine("t2", 8, "m");
        router.received(new CacheEvent(other.id(), 1, 1, prefix, List.of()));
        List<TargetAnnouncement> both = List.of(one, other);
        for (int number = 0; number < 3; number++) {
            AcquiredSlot slot = router.acquire("m", both, Set.of(), Prompt.ofEqualParts(prefix, 12_000))
                    .orElseThrow();
            assertThat(slot.target().id(), is(other.id()));
        }
        Set<TargetId> used = new HashSet<>();
        for (int number = 0; number < 6; number++) {
            used.add(router.acquire("m", both, Set.of(), Prompt.ofEqualParts(prefix, 12_000))
                    .orElseThrow()
                    .target()
                    .id());
        }
        assertThat(used.contains(one.id()), is(true));
    }

    /** Guards against subsets that are too large, equal on all instances, or that change with unrelated targets. */
    @Test
    void subsetsAreBoundedSpreadAndStable() {
        List<TargetAnnouncement> targets = IntStream.range(0, 100)
                .mapToObj(number -> engine("t" + number, 8, "m"))
                .toList();
        Set<TargetId> covered = new HashSet<>();
        int moved = 0;
        for (int number = 0; number < 40; number++) {
            CandidateSubset subset =
                    new CandidateSubset(new InstanceId("i" + number), "north", RoutingOptions.defaults());
            Set<TargetId> before = targetIds(subset.select("m", targets));
            Set<TargetId> after = targetIds(subset.select("m", targets.subList(1, 100)));
            assertThat(before.size(), is(16));
            covered.addAll(before);
            after.removeAll(before);
            assertThat(after.size(), lessThanOrEqualTo(1));
            moved += after.size();
        }
        assertThat(covered.size(), greaterThan(95));
        assertThat(moved, lessThan(20));
    }

    /**
     * Guards against spreading a shared prefix over many targets: sessions with the same prefix arrive at all
     * instances, each of which sees only some of them.
     */
    @Test
    void instancesSendASharedPrefixToTheSameTargetWithoutAMessage() {
        List<TargetAnnouncement> targets = IntStream.range(0, 6)
                .mapToObj(number -> engine("t" + number, 64, "m"))
                .toList();
        for (long prefix = 1; prefix <= 20; prefix++) {
            Set<TargetId> chosen = new HashSet<>();
            for (int instance = 0; instance < 12; instance++) {
                Prompt prompt = new Prompt(List.of(prefix, prefix * 1000 + instance), List.of(6300L, 2890L));
                chosen.add(router("i" + instance, 12)
                        .acquire("m", targets, Set.of(), prompt)
                        .orElseThrow()
                        .target()
                        .id());
            }
            assertThat(chosen.size(), is(1));
        }
    }

    /** Guards against a burst of requests with one prefix that goes to its preferred target only. */
    @Test
    void aBurstForOnePrefixSpillsOver() {
        TargetRouter router = router("one", 1);
        List<TargetAnnouncement> targets = IntStream.range(0, 4)
                .mapToObj(number -> engine("t" + number, 64, "m"))
                .toList();
        Set<TargetId> used = new HashSet<>();
        for (long number = 0; number < 24; number++) {
            Prompt prompt = new Prompt(List.of(1L, 100 + number), List.of(6300L, 2890L));
            used.add(router.acquire("m", targets, Set.of(), prompt)
                    .orElseThrow()
                    .target()
                    .id());
        }
        assertThat(used.size(), greaterThan(2));
    }

    /** Guards against ignoring the queue that a target reports with a response, when other instances caused it. */
    @Test
    void aTargetThatReportsAQueueIsAvoidedWhileTheReportIsRecent() {
        TargetRouter router = router("one", 12);
        TargetAnnouncement queued = engine("t1", 64, "m");
        TargetAnnouncement free = engine("t2", 64, "m");
        AcquiredSlot slot =
                router.acquire("m", List.of(queued), Set.of(), prompt(1)).orElseThrow();
        router.responseStarted(slot, Optional.of(new TargetAnnouncement.Load(64, 20)));
        for (int number = 2; number < 6; number++) {
            assertThat(
                    router.acquire("m", List.of(queued, free), Set.of(), prompt(number))
                            .orElseThrow()
                            .target()
                            .id(),
                    is(free.id()));
        }
    }

    private static Prompt prompt(long number) {
        return new Prompt(List.of(number), List.of(800L));
    }

    private static Set<TargetId> targetIds(List<TargetAnnouncement> targets) {
        Set<TargetId> targetIds = new HashSet<>();
        targets.forEach(target -> targetIds.add(target.id()));
        return targetIds;
    }

    private TargetRouter router(String name, int instances) {
        return new TargetRouter(
                new InstanceId(name),
                "north",
                time,
                new SplittableRandom(SEED),
                () -> instances,
                RoutingOptions.defaults());
    }

    private static Optional<AcquiredSlot> acquire(TargetRouter router, TargetAnnouncement... targets) {
        return router.acquire("m", List.of(targets), Set.of(), Prompt.none());
    }

    private static int acquireAll(TargetRouter router, TargetAnnouncement target) {
        List<AcquiredSlot> slots = new ArrayList<>();
        for (Optional<AcquiredSlot> slot = acquire(router, target); slot.isPresent(); slot = acquire(router, target)) {
            slots.add(slot.get());
        }
        return slots.size();
    }
}
