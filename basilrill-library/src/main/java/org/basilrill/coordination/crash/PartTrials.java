package org.basilrill.coordination.crash;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PromptPartId;
import org.basilrill.state.control.SuspectPart;

/**
 * Tracks at one instance when a request with a blocked prompt part may be tried. The control log decides which instance
 * may try; this class only limits how often it is asked. Not thread safe.
 */
final class PartTrials {
    /** A trial that no request used within this time is dropped, so that it cannot crash a target much later. */
    private static final Duration VALIDITY = Duration.ofSeconds(30);

    private final MonotonicClock clock;
    private final Map<PromptPartId, Block> blocks = new HashMap<>();
    private final Map<PromptPartId, Long> grantedNanos = new HashMap<>();

    PartTrials(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Adopts the blocked parts; the time of a part that is blocked anew or for longer starts now. */
    void update(Set<SuspectPart> blocked) {
        Set<PromptPartId> parts = new HashSet<>();
        for (SuspectPart suspect : blocked) {
            parts.add(suspect.part());
            Duration length = suspect.block().orElseThrow();
            Block known = blocks.get(suspect.part());
            if (known == null || !known.length().equals(length)) {
                blocks.put(suspect.part(), new Block(length, clock.nanos()));
            }
        }
        blocks.keySet().retainAll(parts);
        grantedNanos.keySet().retainAll(parts);
    }

    /** Returns whether a trial is to be requested; the next time is after another whole block. */
    boolean requestDue(PromptPartId part) {
        Block block = blocks.get(part);
        if (block == null || clock.nanos() - block.sinceNanos() < block.length().toNanos()) {
            return false;
        }
        blocks.put(part, new Block(block.length(), clock.nanos()));
        return true;
    }

    void granted(PromptPartId part) {
        grantedNanos.put(part, clock.nanos());
    }

    /** Uses up a granted trial; returns whether there was one. */
    boolean use(PromptPartId part) {
        Long nanos = grantedNanos.remove(part);
        return nanos != null && clock.nanos() - nanos <= VALIDITY.toNanos();
    }

    /** How long a part is blocked, and since when this instance knows. */
    private record Block(Duration length, long sinceNanos) {}
}
