package org.basilrill.coordination.budget;

import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlView;

/**
 * Decides when this instance claims the bucket of one account. The bucket of a lost owner is claimed only after all
 * grants of that owner have expired, unless the loss tolerance covers them. Not thread safe; guarded by the lock of the
 * shard.
 */
final class BucketClaims {
    private final AccountId account;
    private final InstanceId self;
    private final OwnerRanking ranking;
    private final long grantLifetimeNanos;
    private Optional<ControlView.BucketOwner> lostOwner = Optional.empty();
    private Optional<Long> unownedSince = Optional.empty();
    private long nextAttemptAt;
    private boolean claimInFlight;
    private boolean everOwned;

    BucketClaims(AccountId account, InstanceId self, LossTolerance tolerance, OwnerRanking ranking) {
        this.account = account;
        this.self = self;
        this.ranking = ranking;
        grantLifetimeNanos = tolerance.coversOpenGrants() ? 0 : BudgetTiming.GRANT_LIFETIME;
    }

    /** Updates whether the bucket has an owner with an open session. */
    void viewChanged(ControlView view, long nowNanos) {
        Optional<ControlView.BucketOwner> owner =
                Optional.ofNullable(view.bucketOwners().get(account));
        everOwned = everOwned || owner.isPresent();
        boolean hasOwner = owner.filter(known -> hasOpenSession(view, known)).isPresent();
        if (hasOwner || !view.rules().accounts().containsKey(account)) {
            unownedSince = Optional.empty();
            return;
        }
        if (unownedSince.isEmpty() || !lostOwner.equals(owner)) {
            lostOwner = owner;
            unownedSince = Optional.of(nowNanos);
            nextAttemptAt = nowNanos + claimDelay(view, owner);
        }
    }

    /**
     * Returns the command to submit now, if any. The caller reports the end of the command through
     * {@link #claimCompleted}.
     *
     * @param sessionId session of this instance
     */
    Optional<ControlCommand.AssignBucket> nextClaim(ControlView view, long sessionId, long nowNanos) {
        Rules.Account rule = view.rules().accounts().get(account);
        if (unownedSince.isEmpty() || claimInFlight || rule == null || nextAttemptAt - nowNanos > 0) {
            return Optional.empty();
        }
        claimInFlight = true;
        // Only a bucket that never had an owner starts full, as no tokens of it can have been spent.
        long tokens = everOwned ? 0 : rule.burstTokens();
        long epoch = lostOwner.map(ControlView.BucketOwner::epoch).orElse(0L);
        return Optional.of(new ControlCommand.AssignBucket(account, self, sessionId, epoch, tokens));
    }

    void claimCompleted(long nowNanos) {
        claimInFlight = false;
        nextAttemptAt = nowNanos + BudgetTiming.CLAIM_RETRY_INTERVAL;
    }

    Optional<Long> nextDue() {
        return claimInFlight ? Optional.empty() : unownedSince.map(since -> nextAttemptAt);
    }

    static boolean hasOpenSession(ControlView view, ControlView.BucketOwner owner) {
        Long session = view.sessions().get(owner.owner());
        return session != null && session == owner.sessionId();
    }

    private long claimDelay(ControlView view, Optional<ControlView.BucketOwner> lost) {
        int rank = ranking.rank(account, view.sessions().keySet()).indexOf(self);
        long rankDelay = Math.max(0, rank) * BudgetTiming.CLAIM_RANK_DELAY;
        if (lost.isPresent()) {
            return grantLifetimeNanos + rankDelay;
        }
        return ranking.holdsReplica().test(self) ? rankDelay + BudgetTiming.REPLICA_FIRST_CLAIM_DELAY : rankDelay;
    }
}
