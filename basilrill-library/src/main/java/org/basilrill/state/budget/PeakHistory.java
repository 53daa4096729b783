package org.basilrill.state.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Remembers the highest claim on a bucket (level plus outstanding grants) since any earlier time. Refill that a full
 * bucket discards is lost for good, so a refund may only use the room that was there ever since its charge. Answers are
 * never below the true peak. Not thread safe; guarded by the caller.
 */
final class PeakHistory {
    /** Longest history kept. Older peaks are merged, which only makes refunds smaller. */
    private static final int MAXIMUM_PEAKS = 256;

    /** Peaks by rising time; each is higher than all later ones. */
    private final List<Peak> peaks = new ArrayList<>();

    private long lastPosition;

    void record(long nowNanos, long claim) {
        lastPosition++;
        add(new Peak(nowNanos, lastPosition, claim));
    }

    /** Returns a start that all peaks recorded from now on come after. */
    Start startNow(long nowNanos) {
        return new Start(nowNanos, lastPosition);
    }

    long highestSince(Start start) {
        return peaks.stream()
                .filter(start::precedes)
                .mapToLong(Peak::claim)
                .max()
                .orElse(0);
    }

    /** Raises the peaks since the start, as if the tokens had never been charged. */
    void raiseSince(Start start, long tokens) {
        List<Peak> raised = new ArrayList<>(peaks);
        peaks.clear();
        for (Peak peak : raised) {
            add(start.precedes(peak) ? new Peak(peak.nanos, peak.position, peak.claim + tokens) : peak);
        }
    }

    private void add(Peak peak) {
        while (!peaks.isEmpty() && peaks.get(peaks.size() - 1).claim <= peak.claim) {
            peaks.remove(peaks.size() - 1);
        }
        peaks.add(peak);
        if (peaks.size() > MAXIMUM_PEAKS) {
            mergeOldest();
        }
    }

    /** Halves the history: each pair becomes the higher claim at the later time. */
    private void mergeOldest() {
        List<Peak> merged = new ArrayList<>();
        int index = 0;
        while (index < peaks.size()) {
            Peak first = peaks.get(index);
            Peak second = index + 1 < peaks.size() ? peaks.get(index + 1) : first;
            merged.add(new Peak(second.nanos, second.position, first.claim));
            index += 2;
        }
        peaks.clear();
        peaks.addAll(merged);
    }

    /** A claim that no later one reached. */
    private record Peak(long nanos, long position, long claim) {}

    /**
     * Start of a part of the history.
     *
     * @param position only later peaks count; tells peaks of the same nanosecond apart
     */
    record Start(long nanos, long position) {
        private boolean precedes(Peak peak) {
            return peak.position > position && peak.nanos - nanos >= 0;
        }
    }
}
