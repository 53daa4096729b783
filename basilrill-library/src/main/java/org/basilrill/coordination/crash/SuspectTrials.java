package org.basilrill.coordination.crash;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.SuspectId;
import org.basilrill.state.control.CrashSuspect;

/**
 * Tracks at one instance when a request with a blocked suspect may be tried. The control log decides whether it may;
 * this class only limits how often it is asked. Not thread safe.
 */
final class SuspectTrials {
    /**
     * A suspect is tried later if its service has only one target: the trial may cost all callers of the service their
     * only target, but nothing else can show that the suspect is sound.
     */
    private static final Duration ONLY_TARGET_BLOCK = Duration.ofMinutes(10);

    /** Time after which a trial that was not granted, as another one is open, is requested again. */
    private static final Duration REPETITION = Duration.ofSeconds(5);

    private final MonotonicClock clock;
    private final Map<SuspectId, Block> blocks = new HashMap<>();

    SuspectTrials(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Adopts the blocked suspects; the time of one that is blocked anew or for longer starts now. */
    void update(Set<CrashSuspect> blocked) {
        Set<SuspectId> known = new HashSet<>();
        for (CrashSuspect suspect : blocked) {
            known.add(suspect.id());
            Duration length = suspect.block().orElseThrow();
            Block block = blocks.get(suspect.id());
            if (block == null || !block.length().equals(length)) {
                blocks.put(suspect.id(), new Block(length, clock.nanos(), Long.MIN_VALUE));
            }
        }
        blocks.keySet().retainAll(known);
    }

    /**
     * Returns the time until a trial of a known suspect may be requested; zero if it may be now.
     *
     * @param hasSpareTarget whether a crash would leave the destination another target
     */
    Duration untilDue(SuspectId suspect, boolean hasSpareTarget) {
        Block block = blocks.get(suspect);
        boolean longEnough = hasSpareTarget || block.length().compareTo(ONLY_TARGET_BLOCK) >= 0;
        Duration length = longEnough ? block.length() : ONLY_TARGET_BLOCK;
        long due = Math.max(block.sinceNanos() + length.toNanos(), block.notBeforeNanos());
        return Duration.ofNanos(Math.max(0, due - clock.nanos()));
    }

    /** Returns whether the suspect is in the last view, so that a trial of it can be requested. */
    boolean isKnown(SuspectId suspect) {
        return blocks.containsKey(suspect);
    }

    /** Records that a trial was requested; the next request for one is made later. */
    void requested(SuspectId suspect) {
        blocks.computeIfPresent(
                suspect,
                (unused, block) -> new Block(block.length(), block.sinceNanos(), clock.nanos() + REPETITION.toNanos()));
    }

    /** How long a suspect is blocked, since when this instance knows, and when a trial may be requested again. */
    private record Block(Duration length, long sinceNanos, long notBeforeNanos) {}
}
