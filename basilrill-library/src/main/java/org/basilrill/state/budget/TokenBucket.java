package org.basilrill.state.budget;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Token bucket that issues its tokens as grants. The level plus the unspent tokens of all grants never exceeds the
 * burst, and a grant that expires counts as spent. So the holders of grants spend in any window at most the burst plus
 * the refill of that window. Uses integer arithmetic, so that rounding never creates a token. Not thread safe; guarded
 * by its user. Times are nanoseconds on the monotonic clock of the owner.
 */
public final class TokenBucket {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Wait stated for tokens that no refill provides, for example while the account has no rate. */
    private static final long NO_REFILL_NANOS = TimeUnit.HOURS.toNanos(1);

    /**
     * Number of spent grants retained. 12 instances with 10 grants/s each fill it in 17 s; most requests are shorter.
     */
    private static final int MAXIMUM_SPENT_GRANTS = 2048;

    private final Map<GrantKey, Grant> grants = new LinkedHashMap<>();
    private final PeakHistory peaks = new PeakHistory();
    /** Time from which on some tokens of a grant were known to be spent; the latest grants only. */
    private final Map<GrantKey, PeakHistory.Start> spentSince = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<GrantKey, PeakHistory.Start> eldest) {
            return size() > MAXIMUM_SPENT_GRANTS;
        }
    };

    private long tokensPerSecond;
    private long burst;
    private long level;
    /** Refilled part of the next token, in units of 10^-9 tokens. */
    private long fraction;

    private long outstanding;
    private long refilledAt;

    public TokenBucket(long tokensPerSecond, long burst, long level, long nowNanos) {
        this.tokensPerSecond = tokensPerSecond;
        this.burst = burst;
        this.level = Math.min(level, burst);
        this.refilledAt = nowNanos;
        peaks.record(nowNanos, this.level);
    }

    /** Applies a changed rate or burst from now on. The bucket fills up to a higher burst at the rate, not at once. */
    public void configure(long newTokensPerSecond, long newBurst, long nowNanos) {
        advance(nowNanos);
        tokensPerSecond = newTokensPerSecond;
        burst = newBurst;
        limitLevel();
    }

    /** Refills the bucket and expires grants up to the given time; a time in the past has no effect. */
    public void advance(long nowNanos) {
        List<Map.Entry<GrantKey, Grant>> expired = new ArrayList<>();
        for (Map.Entry<GrantKey, Grant> entry : grants.entrySet()) {
            if (entry.getValue().expiresAt - nowNanos <= 0) {
                expired.add(entry);
            }
        }
        expired.sort((first, second) -> Long.compare(first.getValue().expiresAt - second.getValue().expiresAt, 0));
        for (Map.Entry<GrantKey, Grant> entry : expired) {
            refill(entry.getValue().expiresAt);
            remove(entry.getKey());
        }
        refill(nowNanos);
    }

    /**
     * Moves tokens from the level into a grant.
     *
     * @param tokens at most the level
     */
    public void grant(GrantKey key, long tokens, long nowNanos, long expiresAt) {
        advance(nowNanos);
        if (tokens <= 0 || tokens > level || grants.containsKey(key)) {
            throw new IllegalArgumentException("cannot grant " + tokens + " tokens of " + level + " to " + key);
        }
        level -= tokens;
        outstanding += tokens;
        grants.put(key, new Grant(tokens, tokens, nowNanos, expiresAt));
    }

    /** Counts tokens granted by an earlier owner as outstanding, which limits the level until they expire. */
    public void reserve(GrantKey key, long tokens, long nowNanos, long expiresAt) {
        advance(nowNanos);
        if (tokens <= 0) {
            return;
        }
        outstanding += tokens;
        grants.put(key, new Grant(tokens, tokens, nowNanos, expiresAt));
        limitLevel();
    }

    /** Lowers the remaining tokens of a grant. The spent tokens can be refilled; they do not return to the level. */
    public void reportRemaining(GrantKey key, long remaining, long nowNanos) {
        advance(nowNanos);
        Grant grant = grants.get(key);
        if (grant == null || remaining >= grant.remaining) {
            return;
        }
        long kept = Math.max(0, remaining);
        outstanding -= grant.remaining - kept;
        spentSince.putIfAbsent(key, peaks.startNow(nowNanos));
        grants.put(key, new Grant(grant.tokens, kept, grant.grantedAt, grant.expiresAt));
    }

    /**
     * Ends a grant and returns its unspent tokens to the level. Has no effect on a grant that has ended.
     *
     * @return tokens returned to the level
     */
    public long close(GrantKey key, long unspent, long nowNanos) {
        advance(nowNanos);
        Grant grant = grants.get(key);
        if (grant == null) {
            return 0;
        }
        remove(key);
        long returned = Math.min(Math.max(0, unspent), grant.remaining);
        level += returned;
        limitLevel();
        return returned;
    }

    /**
     * Refunds tokens that were charged and not used. Credits at most the headroom that existed at all times since the
     * grant was known to be spent, because a full bucket has refilled those tokens already.
     *
     * @param key grant that was charged
     * @param grantedAt time at which that grant was made; used if its end is no longer retained
     * @return tokens added to the level
     */
    public long refund(GrantKey key, long tokens, long grantedAt, long nowNanos) {
        advance(nowNanos);
        PeakHistory.Start start = startOfRefund(key, grantedAt, nowNanos);
        long headroom = burst - Math.max(peaks.highestSince(start), committedTokens());
        long credit = Math.max(0, Math.min(tokens, headroom));
        if (credit > 0) {
            peaks.raiseSince(start, credit);
            level += credit;
        }
        return credit;
    }

    /** Returns the tokens that can be granted as of the last advance. */
    public long level() {
        return level;
    }

    /** Returns the unspent tokens of all grants as far as the owner knows. */
    public long outstanding() {
        return outstanding;
    }

    /** Returns the capacity in tokens. */
    public long burst() {
        return burst;
    }

    /** Returns a grant; empty if it has ended. */
    public Optional<Grant> find(GrantKey key) {
        return Optional.ofNullable(grants.get(key));
    }

    /** Returns the grants that have not ended. */
    public Map<GrantKey, Grant> grants() {
        return Map.copyOf(grants);
    }

    /** Returns an upper bound of the nanoseconds until the tokens can be granted if nothing else is granted. */
    public long nanosUntil(long tokens, long nowNanos) {
        advance(nowNanos);
        if (tokens <= level) {
            return 0;
        }
        if (tokensPerSecond <= 0 || tokens > burst) {
            return NO_REFILL_NANOS;
        }
        double seconds = (double) (tokens - level) / tokensPerSecond;
        long refillNanos = (long) Math.ceil(Math.min(seconds, 3600) * NANOS_PER_SECOND);
        return Math.max(refillNanos, nanosUntilHeadroom(tokens, nowNanos));
    }

    private long nanosUntilHeadroom(long tokens, long nowNanos) {
        List<Grant> byExpiry = new ArrayList<>(grants.values());
        byExpiry.sort((first, second) -> Long.compare(first.expiresAt - second.expiresAt, 0));
        long committed = outstanding;
        long wait = 0;
        for (Grant grant : byExpiry) {
            if (burst - committed >= tokens) {
                break;
            }
            committed -= grant.remaining;
            wait = grant.expiresAt - nowNanos;
        }
        // Refill stops while grants leave no headroom, so the missing tokens are still to be refilled after that.
        double missing = (double) (tokens - level) / tokensPerSecond;
        return wait == 0 ? 0 : wait + (long) Math.ceil(Math.min(missing, 3600) * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        long elapsed = nowNanos - refilledAt;
        if (elapsed <= 0) {
            return;
        }
        refilledAt = nowNanos;
        // Refill beyond the burst is discarded, so longer times need not be multiplied.
        long seconds = tokensPerSecond == 0 ? 0 : Math.min(elapsed / NANOS_PER_SECOND, burst / tokensPerSecond + 1);
        long parts = tokensPerSecond * (elapsed % NANOS_PER_SECOND) + fraction;
        level += tokensPerSecond * seconds + parts / NANOS_PER_SECOND;
        fraction = parts % NANOS_PER_SECOND;
        limitLevel();
    }

    private void limitLevel() {
        long headroom = Math.max(0, burst - outstanding);
        if (level >= headroom) {
            level = headroom;
            fraction = 0;
        }
        peaks.record(refilledAt, committedTokens());
    }

    private long committedTokens() {
        return level + outstanding + (fraction > 0 ? 1 : 0);
    }

    private PeakHistory.Start startOfRefund(GrantKey key, long grantedAt, long nowNanos) {
        if (grants.containsKey(key)) {
            // Until its spending is known, the whole grant is part of the committed tokens, and so is the refund.
            return spentSince.getOrDefault(key, peaks.startNow(nowNanos));
        }
        return spentSince.getOrDefault(key, new PeakHistory.Start(grantedAt, 0));
    }

    private void remove(GrantKey key) {
        outstanding -= grants.remove(key).remaining;
        spentSince.putIfAbsent(key, peaks.startNow(refilledAt));
    }

    /**
     * One grant.
     *
     * @param tokens size when it was made
     * @param remaining unspent tokens as far as the owner knows
     */
    public record Grant(long tokens, long remaining, long grantedAt, long expiresAt) {}
}
