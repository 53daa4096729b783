package org.basilrill.coordination.limit;

import org.basilrill.state.target.RequestRate;

/** The request rate that a target stated most recently, and when. Not thread safe; guarded by its user. */
final class StatedRate {
    private RequestRate rate;
    /** Rate at the last notable change. */
    private RequestRate notedRate;

    private long statedNanos;

    StatedRate(RequestRate rate, long statedNanos) {
        this.rate = rate;
        this.notedRate = rate;
        this.statedNanos = statedNanos;
    }

    RequestRate rate() {
        return rate;
    }

    /** Returns the time of the response that stated the rate. */
    long nanos() {
        return statedNanos;
    }

    /** Applies a statement unless a newer one is known; returns whether the rate changed notably. */
    boolean update(RequestRate newRate, long atNanos) {
        if (atNanos - statedNanos < 0) {
            return false;
        }
        statedNanos = atNanos;
        rate = newRate;
        boolean changed = newRate.differsNotablyFrom(notedRate);
        notedRate = changed ? newRate : notedRate;
        return changed;
    }
}
