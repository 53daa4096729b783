package org.basilrill.coordination.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.basilrill.api.TargetId;
import org.junit.jupiter.api.Test;

/** Tests the tracking of the prefix caches of targets. */
class PrefixAffinityTest {
    private static final TargetId TARGET = new TargetId("t1");
    private static final double TOLERANCE = 1e-9;

    private final PrefixAffinity affinity = new PrefixAffinity();

    /**
     * Guards against late events that overwrite later ones: after any reordering of a complete sequence of events, the
     * state must be the same as after the events in order.
     */
    @Property(seed = "4530", tries = 200)
    void reorderedEventsLeadToTheSameCacheState(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<Long, Boolean> cached = new TreeMap<>();
        List<CacheEvent> events = new ArrayList<>();
        for (long sequence = 1; sequence <= 30; sequence++) {
            long hash = random.nextInt(8);
            boolean stored = random.nextBoolean();
            cached.put(hash, stored);
            events.add(new CacheEvent(
                    TARGET, 1, sequence, stored ? List.of(hash) : List.of(), stored ? List.of() : List.of(hash)));
        }
        PrefixAffinity reordered = new PrefixAffinity();
        while (!events.isEmpty()) {
            reordered.received(events.remove(random.nextInt(Math.min(5, events.size()))));
        }
        for (long hash = 0; hash < 8; hash++) {
            boolean known = reordered.matchedFraction(TARGET, 1, List.of(hash)) > 0;
            assertThat(known, is(cached.getOrDefault(hash, false)));
        }
    }

    /** Guards against fully counting entries from before a gap, in which an eviction event may have been lost. */
    @Test
    void entriesFromBeforeAGapCountHalfUntilConfirmed() {
        affinity.received(new CacheEvent(TARGET, 1, 1, List.of(1L, 2L), List.of()));
        assertThat(affinity.matchedFraction(TARGET, 1, List.of(1L, 2L)), closeTo(1, TOLERANCE));
        affinity.received(new CacheEvent(TARGET, 1, 5, List.of(), List.of()));
        assertThat(affinity.matchedFraction(TARGET, 1, List.of(1L, 2L)), closeTo(0.5, TOLERANCE));
        affinity.requestRouted(TARGET, 1, List.of(1L));
        assertThat(affinity.matchedFraction(TARGET, 1, List.of(1L, 2L)), closeTo(0.75, TOLERANCE));
    }

    /** Guards against counting blocks after the first missing one: the engine cannot use them. */
    @Test
    void onlyTheContiguousCachedPrefixCounts() {
        affinity.requestRouted(TARGET, 1, List.of(1L, 2L, 3L, 4L));
        affinity.received(new CacheEvent(TARGET, 1, 1, List.of(), List.of(2L)));
        assertThat(affinity.matchedFraction(TARGET, 1, List.of(1L, 2L, 3L, 4L)), closeTo(0.25, TOLERANCE));
    }

    /** Guards against affinity to a cache that a restart cleared, and against late events of the previous process. */
    @Test
    void aRestartClearsTheCacheState() {
        affinity.requestRouted(TARGET, 1, List.of(1L));
        affinity.requestRouted(TARGET, 2, List.of(9L));
        affinity.received(new CacheEvent(TARGET, 1, 7, List.of(1L), List.of()));
        assertThat(affinity.matchedFraction(TARGET, 2, List.of(1L)), closeTo(0, TOLERANCE));
    }

    /** Guards against memory use that grows with the number of prompts. */
    @Test
    void theLeastRecentlyUsedHashesAreEvictedFirst() {
        for (long hash = 0; hash < 2000; hash++) {
            affinity.requestRouted(TARGET, 1, List.of(hash));
        }
        assertThat(affinity.matchedFraction(TARGET, 1, List.of(0L)), closeTo(0, TOLERANCE));
        assertThat(affinity.matchedFraction(TARGET, 1, List.of(1999L)), closeTo(1, TOLERANCE));
        assertThat(affinity.matchedFraction(TARGET, 1, List.of(1400L)), closeTo(0, TOLERANCE));
    }
}
