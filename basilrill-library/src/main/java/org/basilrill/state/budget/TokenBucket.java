package org.basilrill.state.budget;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Token bucket that gives its tokens out as grants. Level plus outstanding unspent grants never exceeds the burst, and
 * a grant that expires counts as spent; so whatever holders of grants spend in a window is at most the burst plus the
 * refill of that window. Integer arithmetic throughout: no token is created by rounding. Not thread safe; guarded by
 * the caller. Times are nanoseconds on the monotonic clock of the owner.
 */
public final class TokenBucket {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Answer for tokens that no refill will bring, such as while the account has no rate. */
    private static final long FAR_NANOS = TimeUnit.HOURS.toNanos(1);

    /** 12 instances with 10 grants a second each fill this in 17 s, longer than most requests run. */
    private static final int REMEMBERED_GRANTS = 2048;

    private final Map<GrantKey, Grant> grants = new LinkedHashMap<>();
    private final PeakHistory peaks = new PeakHistory();
    /** When the first tokens of a grant were known to be spent; the latest grants only. */
    private final Map<GrantKey, PeakHistory.Start> spentSince = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<GrantKey, PeakHistory.Start> eldest) {
            return size() > REMEMBERED_GRANTS;
        }
    };

    private long tokensPerSecond;
    private long burst;
    private long level;
    /** Part of the next token, in tokens times 10^-9. */
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

    /** Applies a changed rate or burst from now on. A higher burst is filled at the rate, not at once. */
    public void configure(long newTokensPerSecond, long newBurst, long nowNanos) {
        advance(nowNanos);
        tokensPerSecond = newTokensPerSecond;
        burst = newBurst;
        trim();
    }

    /** Refills and expires grants up to the given time; a time in the past has no effect. */
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

    /** Counts tokens as outstanding that an earlier owner granted; limits the level until they expire. */
    public void reserve(GrantKey key, long tokens, long nowNanos, long expiresAt) {
        advance(nowNanos);
        if (tokens <= 0) {
            return;
        }
        outstanding += tokens;
        grants.put(key, new Grant(tokens, tokens, nowNanos, expiresAt));
        trim();
    }

    /** Lowers what a grant may still spend. What was spent makes room for refill; nothing returns to the level. */
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
     * Ends a grant; the unspent rest returns to the level. Without effect on a grant that has ended.
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
        trim();
        return returned;
    }

    /**
     * Credits tokens that were charged and not used. Uses only the room that was there ever since the grant was known
     * to be spent, because a full bucket has refilled those tokens already.
     *
     * @param key grant from which the charge was paid
     * @param grantedAt when that grant was made; used if it ended too long ago to be remembered
     * @return tokens added to the level
     */
    public long refund(GrantKey key, long tokens, long grantedAt, long nowNanos) {
        advance(nowNanos);
        PeakHistory.Start start = startOfRefund(key, grantedAt, nowNanos);
        long room = burst - Math.max(peaks.highestSince(start), claim());
        long credit = Math.max(0, Math.min(tokens, room));
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

    /** Returns the unspent tokens of all grants, as far as known here. */
    public long outstanding() {
        return outstanding;
    }

    /** Returns the capacity in tokens. */
    public long burst() {
        return burst;
    }

    /** Returns a grant that has not ended. */
    public Optional<Grant> find(GrantKey key) {
        return Optional.ofNullable(grants.get(key));
    }

    /** Returns the grants that have not ended. */
    public Map<GrantKey, Grant> grants() {
        return Map.copyOf(grants);
    }

    /** Returns the nanoseconds after which the tokens are there at the latest if nothing else is granted. */
    public long nanosUntil(long tokens, long nowNanos) {
        advance(nowNanos);
        if (tokens <= level) {
            return 0;
        }
        if (tokensPerSecond <= 0 || tokens > burst) {
            return FAR_NANOS;
        }
        double seconds = (double) (tokens - level) / tokensPerSecond;
        long refillNanos = (long) Math.ceil(Math.min(seconds, 3600) * NANOS_PER_SECOND);
        return Math.max(refillNanos, nanosUntilRoomFor(tokens, nowNanos));
    }

    private long nanosUntilRoomFor(long tokens, long nowNanos) {
        List<Grant> byExpiry = new ArrayList<>(grants.values());
        byExpiry.sort((first, second) -> Long.compare(first.expiresAt - second.expiresAt, 0));
        long claimed = outstanding;
        long wait = 0;
        for (Grant grant : byExpiry) {
            if (burst - claimed >= tokens) {
                break;
            }
            claimed -= grant.remaining;
            wait = grant.expiresAt - nowNanos;
        }
        // Refill stops while grants hold the room, so what is missing then still has to flow in.
        double missing = (double) (tokens - level) / tokensPerSecond;
        return wait == 0 ? 0 : wait + (long) Math.ceil(Math.min(missing, 3600) * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        long elapsed = nowNanos - refilledAt;
        if (elapsed <= 0) {
            return;
        }
        refilledAt = nowNanos;
        // Refill beyond the burst is discarded, so longer times need not be multiplied out.
        long seconds = tokensPerSecond == 0 ? 0 : Math.min(elapsed / NANOS_PER_SECOND, burst / tokensPerSecond + 1);
        long parts = tokensPerSecond * (elapsed % NANOS_PER_SECOND) + fraction;
        level += tokensPerSecond * seconds + parts / NANOS_PER_SECOND;
        fraction = parts % NANOS_PER_SECOND;
        trim();
    }

    private void trim() {
        long room = Math.max(0, burst - outstanding);
        if (level >= room) {
            level = room;
            fraction = 0;
        }
        peaks.record(refilledAt, claim());
    }

    private long claim() {
        return level + outstanding + (fraction > 0 ? 1 : 0);
    }

    private PeakHistory.Start startOfRefund(GrantKey key, long grantedAt, long nowNanos) {
        if (grants.containsKey(key)) {
            // Until its spending is known, the whole grant is part of the claim and so is the refund.
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
