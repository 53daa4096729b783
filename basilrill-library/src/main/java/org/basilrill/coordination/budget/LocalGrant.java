package org.basilrill.coordination.budget;

/** A grant at its requester. Not thread safe; guarded by the lock of the shard. */
final class LocalGrant {
    private final long ask;
    private final long epoch;
    private final long grantedAt;
    private final long expiresAt;
    private long remaining;
    /** What the owner was last told; tokens below it may not be put back, as the owner has refilled them. */
    private long reported;

    private long usedAt;
    private boolean closed;

    LocalGrant(BudgetMessage.Answer answer, long expiresAt, long nowNanos) {
        this.ask = answer.ask();
        this.epoch = answer.epoch();
        this.grantedAt = answer.grantedAtNanos();
        this.expiresAt = expiresAt;
        this.remaining = answer.tokens();
        this.reported = answer.tokens();
        this.usedAt = nowNanos;
    }

    long ask() {
        return ask;
    }

    long epoch() {
        return epoch;
    }

    long grantedAt() {
        return grantedAt;
    }

    long expiresAt() {
        return expiresAt;
    }

    long remaining() {
        return remaining;
    }

    boolean hasUnreportedSpending() {
        return remaining < reported;
    }

    boolean isExpired(long nowNanos) {
        return expiresAt - nowNanos <= 0;
    }

    long idleAt() {
        return usedAt + BudgetTiming.IDLE_RETURN;
    }

    /** Spends up to the given tokens and returns how many it spent. */
    long spend(long tokens, long nowNanos) {
        long spent = Math.min(tokens, remaining);
        remaining -= spent;
        usedAt = nowNanos;
        return spent;
    }

    /** Takes back tokens that were charged and not used; returns how many it took. */
    long putBack(long tokens, long nowNanos) {
        if (closed || isExpired(nowNanos)) {
            return 0;
        }
        long taken = Math.min(tokens, reported - remaining);
        remaining += taken;
        return taken;
    }

    /** Returns the report for the owner and counts it as delivered; the grant is closed if told so. */
    BudgetMessage.Report report(boolean close) {
        reported = remaining;
        closed = closed || close;
        return new BudgetMessage.Report(ask, remaining, close);
    }

    /** Ends the grant without a report. */
    void close() {
        closed = true;
    }
}
