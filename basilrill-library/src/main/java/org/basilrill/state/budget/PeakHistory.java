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

    void record(long nowNanos, long claim) {
        while (!peaks.isEmpty() && peaks.get(peaks.size() - 1).claim <= claim) {
            peaks.remove(peaks.size() - 1);
        }
        peaks.add(new Peak(nowNanos, claim));
        if (peaks.size() > MAXIMUM_PEAKS) {
            mergeOldest();
        }
    }

    long highestSince(long nanos) {
        return peaks.stream()
                .filter(peak -> peak.nanos - nanos >= 0)
                .mapToLong(Peak::claim)
                .max()
                .orElse(0);
    }

    /** Raises the peaks since the time, as if the tokens had never been charged. */
    void raiseSince(long nanos, long tokens) {
        List<Peak> raised = new ArrayList<>(peaks);
        peaks.clear();
        for (Peak peak : raised) {
            record(peak.nanos, peak.nanos - nanos >= 0 ? peak.claim + tokens : peak.claim);
        }
    }

    /** Halves the history: each pair becomes the higher claim at the later time. */
    private void mergeOldest() {
        List<Peak> merged = new ArrayList<>();
        int index = 0;
        while (index < peaks.size()) {
            Peak first = peaks.get(index);
            Peak second = index + 1 < peaks.size() ? peaks.get(index + 1) : first;
            merged.add(new Peak(second.nanos, first.claim));
            index += 2;
        }
        peaks.clear();
        peaks.addAll(merged);
    }

    /** A claim that no later one reached. */
    private record Peak(long nanos, long claim) {}
}
