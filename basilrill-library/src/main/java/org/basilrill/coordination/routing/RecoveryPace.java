package org.basilrill.coordination.routing;

/**
 * Pace of one recovering target, as this instance sees it: how many requests all instances together may have there.
 * Grows by a constant step with each good response, halves with a slow one or a refusal, and begins again with a
 * failure. Not thread safe; guarded by its owner.
 */
final class RecoveryPace {
    /** The first places are one in this many slots: enough to see how the target responds, too few to overload it. */
    private static final int SLOTS_PER_FIRST_PLACE = 16;
    /** Good responses, each of a higher pace, that show that a target is recovered, if this instance sees them all. */
    private static final int LARGEST_EVIDENCE = 8;
    /** A single good response may be chance. */
    private static final int SMALLEST_EVIDENCE = 2;

    private final long incarnation;
    private final Reason reason;
    private final int firstPlaces;
    private final int allPlaces;
    private final double step;
    private double places;
    private long judgedFromNanos;
    private int goodResponses;
    private boolean reduced;
    private long usedTurn = Long.MIN_VALUE;

    /**
     * Begins a pace.
     *
     * @param slots slots of the target
     * @param instances number of instances that share it
     */
    RecoveryPace(long incarnation, Reason reason, int slots, int instances, long nowNanos) {
        this.incarnation = incarnation;
        this.reason = reason;
        firstPlaces = Math.max(1, slots / SLOTS_PER_FIRST_PLACE);
        allPlaces = Math.max(firstPlaces + 1, Math.max(slots, instances));
        // Of the evidence, an instance sees its share only; the others judge by theirs.
        double shareOfEvidence = (double) slots / allPlaces;
        long evidence = Math.max(SMALLEST_EVIDENCE, Math.round(Math.ceil(LARGEST_EVIDENCE * shareOfEvidence)));
        step = (double) (allPlaces - firstPlaces) / evidence;
        places = firstPlaces;
        judgedFromNanos = nowNanos;
    }

    /** Why a target is paced. */
    enum Reason {
        STARTED,
        EJECTED
    }

    long incarnation() {
        return incarnation;
    }

    Reason reason() {
        return reason;
    }

    /** Returns the last turn in which this instance used a place. */
    long usedTurn() {
        return usedTurn;
    }

    /** Records that a request was sent in a turn. */
    void used(long turn) {
        usedTurn = Math.max(usedTurn, turn);
    }

    int goodResponses() {
        return goodResponses;
    }

    /** Returns the places of all instances together. */
    int places() {
        return (int) places;
    }

    /** Returns the places as a fraction of those of a recovered target. */
    double fraction() {
        return Math.min(1, places / allPlaces);
    }

    /** Applies a good response; returns whether it shows that the target is recovered. */
    boolean good(long sentNanos) {
        if (isJudged(sentNanos)) {
            goodResponses++;
            reduced = false;
            places = Math.min(allPlaces, places + step);
        }
        // Sums of the step may fall short of all places by a rounding error.
        return allPlaces - places < step / 2;
    }

    /** Applies a response that was slow or a refusal; returns whether the pace turned from growth to reduction. */
    boolean slow(long sentNanos, long nowNanos) {
        return reduceTo(places / 2, sentNanos, nowNanos);
    }

    /** Applies a failure; returns whether the pace turned from growth to reduction. */
    boolean failed(long sentNanos, long nowNanos) {
        return reduceTo(firstPlaces, sentNanos, nowNanos);
    }

    /** Several responses to requests of one pace reduce it once. */
    private boolean reduceTo(double lower, long sentNanos, long nowNanos) {
        if (!isJudged(sentNanos)) {
            return false;
        }
        boolean turned = !reduced;
        reduced = true;
        places = Math.max(firstPlaces, lower);
        judgedFromNanos = nowNanos;
        return turned;
    }

    private boolean isJudged(long sentNanos) {
        return sentNanos - judgedFromNanos >= 0;
    }
}
