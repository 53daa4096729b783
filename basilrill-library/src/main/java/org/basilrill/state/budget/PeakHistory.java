package org.basilrill.state.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * History of the peaks of a bucket's committed tokens (level plus outstanding grants). Refill that a full bucket
 * discards is lost, so a refund may only use the headroom that existed at all times since its charge. A returned peak
 * is never below the true one. Not thread safe; guarded by its user.
 */
final class PeakHistory {
    /** Number of peaks retained. Older ones are merged, which can only make refunds smaller. */
    private static final int MAXIMUM_PEAKS = 256;

    /** Peaks in ascending order of time; each is higher than all later ones. */
    private final List<Peak> peaks = new ArrayList<>();

    private long lastPosition;

    void record(long nowNanos, long committedTokens) {
        lastPosition++;
        add(new Peak(nowNanos, lastPosition, committedTokens));
    }

    /** Returns a start that precedes all peaks recorded from now on. */
    Start startNow(long nowNanos) {
        return new Start(nowNanos, lastPosition);
    }

    long highestSince(Start start) {
        return peaks.stream()
                .filter(start::precedes)
                .mapToLong(Peak::tokens)
                .max()
                .orElse(0);
    }

    /** Raises the peaks since the start, as if the tokens had never been charged. */
    void raiseSince(Start start, long tokens) {
        List<Peak> raised = new ArrayList<>(peaks);
        peaks.clear();
        for (Peak peak : raised) {
            add(start.precedes(peak) ? new Peak(peak.nanos, peak.position, peak.tokens + tokens) : peak);
        }
    }

    private void add(Peak peak) {
        while (!peaks.isEmpty() && peaks.get(peaks.size() - 1).tokens <= peak.tokens) {
            peaks.remove(peaks.size() - 1);
        }
        peaks.add(peak);
        if (peaks.size() > MAXIMUM_PEAKS) {
            mergeOldest();
        }
    }

    /** Halves the history: each pair of peaks becomes one with the higher number of tokens at the later time. */
    private void mergeOldest() {
        List<Peak> merged = new ArrayList<>();
        int index = 0;
        while (index < peaks.size()) {
            Peak first = peaks.get(index);
            Peak second = index + 1 < peaks.size() ? peaks.get(index + 1) : first;
            merged.add(new Peak(second.nanos, second.position, first.tokens));
            index += 2;
        }
        peaks.clear();
        peaks.addAll(merged);
    }

    /** A number of committed tokens that was not reached again later. */
    private record Peak(long nanos, long position, long tokens) {}

    /**
     * Time from which on peaks of the history count.
     *
     * @param position only peaks at higher positions count; distinguishes peaks of the same nanosecond
     */
    record Start(long nanos, long position) {
        private boolean precedes(Peak peak) {
            return peak.position > position && peak.nanos - nanos >= 0;
        }
    }
}
