package org.basilrill.scaffold.measure;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.admission.TokenAdmission;
import org.basilrill.state.budget.GrantKey;
import org.basilrill.state.budget.TokenBucket;
import org.basilrill.state.configuration.Rules;

/**
 * Baseline in which every instance has an equal share of each client account's rate and burst, without messages between
 * instances. With one instance, it is the ideal central bucket. Not thread safe.
 */
final class StaticShares implements TokenAdmission {
    private static final InstanceId LOCAL_INSTANCE = new InstanceId("local");

    private final MonotonicClock clock;
    private final int instances;
    private final Map<AccountId, TokenBucket> buckets = new HashMap<>();
    private long lastCharge;

    StaticShares(MonotonicClock clock, int instances) {
        this.clock = clock;
        this.instances = instances;
    }

    void addAccount(Rules.Account account) {
        long burst = account.burstTokens() / instances;
        long rate = account.tokensPerSecond() / instances;
        buckets.put(account.id(), new TokenBucket(rate, burst, burst, clock.nanos()));
    }

    /** Returns whether a charge would be accepted at the current time. */
    boolean hasTokens(AccountId account, long tokens) {
        TokenBucket bucket = buckets.get(account);
        bucket.advance(clock.nanos());
        return bucket.level() >= tokens;
    }

    @Override
    public CompletableFuture<Charge> charge(AccountId account, long tokens, long deadlineNanos) {
        if (!hasTokens(account, tokens)) {
            return CompletableFuture.failedFuture(new BasilrillException(
                    ErrorCode.RATE_EXCEEDED,
                    "this instance's share of the rate of client account " + account + " is exhausted"));
        }
        return CompletableFuture.completedFuture(chargeBucket(account, tokens));
    }

    /** Charges the tokens immediately; the bucket must have enough of them. */
    Charge chargeBucket(AccountId account, long tokens) {
        TokenBucket bucket = buckets.get(account);
        long now = clock.nanos();
        lastCharge++;
        GrantKey key = new GrantKey(LOCAL_INSTANCE, 0, lastCharge);
        bucket.grant(key, tokens, now, now + 1);
        bucket.close(key, 0, now);
        return new Charge() {
            @Override
            public long tokens() {
                return tokens;
            }

            @Override
            public void settle(long usedTokens) {
                bucket.refund(key, tokens - usedTokens, now, clock.nanos());
            }
        };
    }
}
