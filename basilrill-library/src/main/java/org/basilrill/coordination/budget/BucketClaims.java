package org.basilrill.coordination.budget;

import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlView;

/**
 * Decides when this instance claims the bucket of one account. A bucket whose owner is lost is claimed only after all
 * grants of that owner have expired, unless the tolerance covers them. Not thread safe; guarded by the lock of the
 * shard.
 */
final class BucketClaims {
    private final AccountId account;
    private final InstanceId self;
    private final OwnerRanking ranking;
    private final long grantLifetimeNanos;
    private Optional<ControlView.BucketOwner> lostOwner = Optional.empty();
    private Optional<Long> vacantSince = Optional.empty();
    private long attemptAt;
    private boolean claiming;
    private boolean everOwned;

    BucketClaims(AccountId account, InstanceId self, LossTolerance tolerance, OwnerRanking ranking) {
        this.account = account;
        this.self = self;
        this.ranking = ranking;
        grantLifetimeNanos = tolerance.coversOpenGrants() ? 0 : BudgetTiming.GRANT_LIFETIME;
    }

    /** Notes whether the bucket has an owner whose session is open. */
    void viewChanged(ControlView view, long nowNanos) {
        Optional<ControlView.BucketOwner> owner =
                Optional.ofNullable(view.bucketOwners().get(account));
        everOwned = everOwned || owner.isPresent();
        boolean held = owner.filter(known -> isOpen(view, known)).isPresent();
        if (held || !view.rules().accounts().containsKey(account)) {
            vacantSince = Optional.empty();
            return;
        }
        if (vacantSince.isEmpty() || !lostOwner.equals(owner)) {
            lostOwner = owner;
            vacantSince = Optional.of(nowNanos);
            attemptAt = nowNanos + delay(view, owner);
        }
    }

    /**
     * Returns the command to submit now, if any. The caller must report its end.
     *
     * @param sessionId session of this instance
     */
    Optional<ControlCommand.AssignBucket> nextClaim(ControlView view, long sessionId, long nowNanos) {
        Rules.Account rule = view.rules().accounts().get(account);
        if (vacantSince.isEmpty() || claiming || rule == null || attemptAt - nowNanos > 0) {
            return Optional.empty();
        }
        claiming = true;
        // Only a bucket that never had an owner starts full: no grant of it can have been spent.
        long tokens = everOwned ? 0 : rule.burstTokens();
        long epoch = lostOwner.map(ControlView.BucketOwner::epoch).orElse(0L);
        return Optional.of(new ControlCommand.AssignBucket(account, self, sessionId, epoch, tokens));
    }

    void claimEnded(long nowNanos) {
        claiming = false;
        attemptAt = nowNanos + BudgetTiming.CLAIM_REPEAT;
    }

    Optional<Long> nextDue() {
        return claiming ? Optional.empty() : vacantSince.map(since -> attemptAt);
    }

    static boolean isOpen(ControlView view, ControlView.BucketOwner owner) {
        Long session = view.sessions().get(owner.owner());
        return session != null && session == owner.sessionId();
    }

    private long delay(ControlView view, Optional<ControlView.BucketOwner> lost) {
        int rank = ranking.rank(account, view.sessions().keySet()).indexOf(self);
        long turn = Math.max(0, rank) * BudgetTiming.CLAIM_RANK_DELAY;
        if (lost.isPresent()) {
            return grantLifetimeNanos + turn;
        }
        return ranking.holdsReplica().test(self) ? turn + BudgetTiming.FIRST_CLAIM_OF_REPLICA : turn;
    }
}
