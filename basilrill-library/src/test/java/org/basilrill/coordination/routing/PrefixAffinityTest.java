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

/** Guards what is remembered of the targets' prefix caches. */
class PrefixAffinityTest {
    private static final TargetId TARGET = new TargetId("t1");
    private static final double EXACT = 1e-9;

    private final PrefixAffinity affinity = new PrefixAffinity();

    /**
     * Guards against late events that overwrite later ones: however a complete run of events is reordered, the end must
     * be what the events in order give.
     */
    @Property(seed = "4530", tries = 200)
    void reorderedEventsLeadToTheSameKnowledge(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
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
            boolean known = reordered.matchedPart(TARGET, 1, List.of(hash)) > 0;
            assertThat(known, is(cached.getOrDefault(hash, false)));
        }
    }

    /** Guards against full trust in knowledge from before a gap, in which an eviction may have been lost. */
    @Test
    void knowledgeFromBeforeAGapCountsHalfUntilConfirmed() {
        affinity.received(new CacheEvent(TARGET, 1, 1, List.of(1L, 2L), List.of()));
        assertThat(affinity.matchedPart(TARGET, 1, List.of(1L, 2L)), closeTo(1, EXACT));
        affinity.received(new CacheEvent(TARGET, 1, 5, List.of(), List.of()));
        assertThat(affinity.matchedPart(TARGET, 1, List.of(1L, 2L)), closeTo(0.5, EXACT));
        affinity.routed(TARGET, 1, List.of(1L));
        assertThat(affinity.matchedPart(TARGET, 1, List.of(1L, 2L)), closeTo(0.75, EXACT));
    }

    /** Guards against counting blocks after the first one that is missing: the engine cannot use them. */
    @Test
    void onlyTheUnbrokenBeginningOfThePromptCounts() {
        affinity.routed(TARGET, 1, List.of(1L, 2L, 3L, 4L));
        affinity.received(new CacheEvent(TARGET, 1, 1, List.of(), List.of(2L)));
        assertThat(affinity.matchedPart(TARGET, 1, List.of(1L, 2L, 3L, 4L)), closeTo(0.25, EXACT));
    }

    /** Guards against affinity to a cache that a restart emptied, and against late events of the old process. */
    @Test
    void aRestartEmptiesTheMemory() {
        affinity.routed(TARGET, 1, List.of(1L));
        affinity.routed(TARGET, 2, List.of(9L));
        affinity.received(new CacheEvent(TARGET, 1, 7, List.of(1L), List.of()));
        assertThat(affinity.matchedPart(TARGET, 2, List.of(1L)), closeTo(0, EXACT));
    }

    /** Guards against memory that grows with the number of prompts. */
    @Test
    void theOldestHashesAreDroppedFirst() {
        for (long hash = 0; hash < 2000; hash++) {
            affinity.routed(TARGET, 1, List.of(hash));
        }
        assertThat(affinity.matchedPart(TARGET, 1, List.of(0L)), closeTo(0, EXACT));
        assertThat(affinity.matchedPart(TARGET, 1, List.of(1999L)), closeTo(1, EXACT));
        assertThat(affinity.matchedPart(TARGET, 1, List.of(1400L)), closeTo(0, EXACT));
    }
}
