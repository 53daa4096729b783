package org.basilrill.coordination.budget;

/** A grant at its requester. Not thread safe; guarded by the lock of the shard. */
final class LocalGrant {
    private final long requestNumber;
    private final long epoch;
    private final long grantedAt;
    private final long expiresAt;
    private long remaining;
    /**
     * Remaining tokens last reported to the owner. The grant is never restored above this value, as the owner has
     * refilled the tokens reported as spent.
     */
    private long reported;

    private long usedAt;
    private boolean closed;

    LocalGrant(BudgetMessage.GrantResponse response, long expiresAt, long nowNanos) {
        this.requestNumber = response.requestNumber();
        this.epoch = response.epoch();
        this.grantedAt = response.grantedAtNanos();
        this.expiresAt = expiresAt;
        this.remaining = response.tokens();
        this.reported = response.tokens();
        this.usedAt = nowNanos;
    }

    long requestNumber() {
        return requestNumber;
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
        return usedAt + BudgetTiming.IDLE_RETURN_DELAY;
    }

    /** Spends up to the given tokens and returns how many it spent. */
    long spend(long tokens, long nowNanos) {
        long spent = Math.min(tokens, remaining);
        remaining -= spent;
        usedAt = nowNanos;
        return spent;
    }

    /** Restores tokens that were charged but not used; returns how many were restored. */
    long restore(long tokens, long nowNanos) {
        if (closed || isExpired(nowNanos)) {
            return 0;
        }
        long restored = Math.min(tokens, reported - remaining);
        remaining += restored;
        return restored;
    }

    /** Returns the report for the owner, which then counts as delivered. Closes the grant if requested. */
    BudgetMessage.Report report(boolean close) {
        reported = remaining;
        closed = closed || close;
        return new BudgetMessage.Report(requestNumber, remaining, close);
    }

    /** Closes the grant without a report. */
    void close() {
        closed = true;
    }
}
