package org.basilrill.coordination.crash;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.SuspectId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Requests whose connection was lost although the target may live: it accepted a connection, or nobody could tell. They
 * were lost in a crash if the target soon announces a new incarnation. Not thread safe.
 */
final class UnexplainedLosses {
    /** Longer than a target takes to start again and to announce itself. */
    private static final Duration EXPLAINED_WITHIN = Duration.ofSeconds(10);

    private static final int MAXIMUM_LOSSES = 1024;

    private final MonotonicClock clock;
    /** Ordered by the time of the loss, oldest first. */
    private final Deque<Loss> losses = new ArrayDeque<>();

    UnexplainedLosses(MonotonicClock clock) {
        this.clock = clock;
    }

    /** A request that was sent to the target and whose connection was then lost. */
    record Loss(TargetAnnouncement target, List<SuspectId> suspects, long sentNanos, long lostNanos) {}

    void add(Loss loss) {
        dropOld();
        if (losses.size() >= MAXIMUM_LOSSES) {
            losses.removeFirst();
        }
        losses.addLast(loss);
    }

    /** Returns the losses that this announcement of a new incarnation explains; no later call returns them. */
    List<Loss> explainedBy(TargetAnnouncement announced) {
        dropOld();
        List<Loss> explained = new ArrayList<>();
        for (Iterator<Loss> all = losses.iterator(); all.hasNext(); ) {
            Loss loss = all.next();
            boolean restarted =
                    loss.target().id().equals(announced.id()) && loss.target().incarnation() != announced.incarnation();
            if (restarted) {
                explained.add(loss);
                all.remove();
            }
        }
        return explained;
    }

    private void dropOld() {
        while (!losses.isEmpty() && clock.nanos() - losses.getFirst().lostNanos() > EXPLAINED_WITHIN.toNanos()) {
            losses.removeFirst();
        }
    }
}
