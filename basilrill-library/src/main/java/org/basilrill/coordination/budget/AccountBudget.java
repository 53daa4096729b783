package org.basilrill.coordination.budget;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.admission.TokenAdmission;
import org.basilrill.state.budget.TokenBucket;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlView;

/**
 * Budget of one account at one instance: requester, and owner while the control log says so. Not thread safe; guarded
 * by the lock of the shard.
 */
final class AccountBudget {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final AccountId account;
    private final InstanceId self;
    private final ControlClient control;
    private final GrantRequester requester;
    private final LossTolerance tolerance;
    private final OwnerRanking ranking;
    private final BucketClaims claims;
    private Optional<GrantIssuer> issuer = Optional.empty();
    private Optional<Rules.Account> rule = Optional.empty();
    private Optional<BucketDeparture> departure = Optional.empty();
    private ControlView view = ControlView.empty();
    /** Highest epoch whose bucket was started here; an epoch is never started twice. */
    private long startedEpoch;
    /** Owner announced by a handover that the view does not show yet. */
    private Optional<GrantRequester.OwnerReference> announced = Optional.empty();

    AccountBudget(
            AccountId account,
            InstanceId self,
            ControlClient control,
            GrantRequester requester,
            LossTolerance tolerance,
            OwnerRanking ranking) {
        this.account = account;
        this.self = self;
        this.control = control;
        this.requester = requester;
        this.tolerance = tolerance;
        this.ranking = ranking;
        this.claims = new BucketClaims(account, self, tolerance, ranking);
    }

    static BasilrillException unknownAccount(AccountId account) {
        return new BasilrillException(
                ErrorCode.BUDGET_UNAVAILABLE, String.format("client account %s is in no rule", account));
    }

    AccountId account() {
        return account;
    }

    void viewChanged(ControlView newView, long nowNanos, Outbox outbox) {
        if (newView.index() < view.index()) {
            return;
        }
        view = newView;
        claims.viewChanged(newView, nowNanos);
        Optional<Rules.Account> newRule =
                Optional.ofNullable(newView.rules().accounts().get(account));
        if (!newRule.equals(rule)) {
            ruleChanged(newRule, nowNanos, outbox);
        }
        Optional<ControlView.BucketOwner> owner =
                Optional.ofNullable(newView.bucketOwners().get(account));
        long knownEpoch = owner.map(ControlView.BucketOwner::epoch).orElse(0L);
        if (announced.filter(reference -> reference.epoch() > knownEpoch).isEmpty()) {
            announced = Optional.empty();
            ownerChanged(owner, nowNanos, outbox);
        }
    }

    void charge(
            long tokens, long deadline, CompletableFuture<TokenAdmission.Charge> result, long nowNanos, Outbox outbox) {
        Optional<BasilrillException> refusal = refusal(tokens);
        if (refusal.isPresent()) {
            outbox.afterwards(() -> result.completeExceptionally(refusal.get()));
            return;
        }
        requester.charge(tokens, deadline, result, nowNanos, outbox);
    }

    void takeBack(List<LocalPool.Part> parts, long unused, long nowNanos, Outbox outbox) {
        requester.takeBack(parts, unused, nowNanos, outbox);
    }

    void receive(InstanceId sender, BudgetMessage message, long nowNanos, Outbox outbox) {
        if (message instanceof BudgetMessage.FromRequester asked) {
            issuer.ifPresent(owned -> owned.receive(sender, asked, isActing(owned), nowNanos, outbox));
        } else if (message instanceof BudgetMessage.Answer answer) {
            requester.receive(answer, nowNanos, outbox);
        } else if (message instanceof BudgetMessage.Recall recall) {
            requester.receive(recall, nowNanos, outbox);
        } else if (message instanceof BudgetMessage.Handover handover) {
            receive(handover, nowNanos, outbox);
        }
    }

    void tick(long nowNanos, Outbox outbox) {
        issuer.ifPresent(owned -> owned.tick(isActing(owned), nowNanos, outbox));
        requester.tick(nowNanos, outbox);
    }

    /** Returns the command to submit now: a claim, or a handover while the instance drains. */
    Optional<ControlCommand.AssignBucket> nextCommand(boolean draining, long nowNanos, Outbox outbox) {
        if (!control.holdsSession()) {
            return Optional.empty();
        }
        if (departure.isPresent()) {
            return departure.get().nextCommand(view, nowNanos, outbox);
        }
        return draining ? Optional.empty() : claims.nextClaim(view, control.sessionId(), nowNanos);
    }

    /** Notes how a command ended; without a handover the new owner is learnt from the view. */
    void commandEnded(
            ControlCommand.AssignBucket command,
            Optional<BucketDeparture.NewOwner> held,
            long nowNanos,
            Outbox outbox) {
        if (!command.owner().equals(self)) {
            departure.ifPresent(leaving -> leaving.commandEnded(command, held, nowNanos, outbox));
            announceOwnHandover(command, held, nowNanos, outbox);
            return;
        }
        if (held.isEmpty()) {
            LOGGER.atWarning().log("%s: claim of %s", LogEvent.BUCKET_CLAIM_FAILED, account);
        }
        claims.claimEnded(nowNanos);
    }

    /** Starts the planned handover; the future completes once another instance owns the bucket or none can. */
    CompletableFuture<Void> depart(long nowNanos) {
        if (departure.isPresent()) {
            return departure.get().completion();
        }
        Optional<GrantIssuer> owned = issuer.filter(candidate -> candidate.sessionId() == control.sessionId());
        if (owned.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        departure = Optional.of(new BucketDeparture(account, self, owned.get(), ranking, nowNanos));
        return departure.get().completion();
    }

    Optional<Long> nextDue(boolean draining, long nowNanos) {
        Optional<Long> due =
                Times.earlier(requester.nextDue(nowNanos), issuer.flatMap(owned -> owned.nextDue(nowNanos)));
        Optional<Long> command = departure.isPresent()
                ? departure.flatMap(BucketDeparture::nextDue)
                : draining ? Optional.empty() : claims.nextDue();
        if (command.isPresent() && !control.holdsSession()) {
            // The session can come back without a new view, so this is polled.
            return Times.earlier(due, nowNanos + BudgetTiming.CLAIM_REPEAT);
        }
        return Times.earlier(due, command);
    }

    BudgetSnapshot snapshot(long nowNanos) {
        Optional<GrantIssuer> acting = issuer.filter(this::isActing);
        acting.ifPresent(owned -> owned.bucket().advance(nowNanos));
        return new BudgetSnapshot(
                account,
                requester.owner().map(GrantRequester.OwnerReference::instance),
                requester.owner().map(GrantRequester.OwnerReference::epoch).orElse(0L),
                acting.map(owned -> new BudgetSnapshot.Bucket(
                        owned.bucket().level(), owned.bucket().burst(), owned.outstandingByInstance())),
                requester.unspent(nowNanos),
                requester.waiting());
    }

    private Optional<BasilrillException> refusal(long tokens) {
        if (rule.isEmpty()) {
            return Optional.of(unknownAccount(account));
        }
        long burst = rule.get().burstTokens();
        if (tokens > burst) {
            String detail = String.format(
                    "request needs %d tokens, the burst of client account %s is %d", tokens, account, burst);
            return Optional.of(new BasilrillException(ErrorCode.EXCEEDS_BURST, detail));
        }
        return Optional.empty();
    }

    private boolean isActing(GrantIssuer owned) {
        return rule.isPresent() && control.holdsSession() && control.sessionId() == owned.sessionId();
    }

    private void ruleChanged(Optional<Rules.Account> newRule, long nowNanos, Outbox outbox) {
        rule = newRule;
        requester.configure(newRule.map(Rules.Account::tokensPerSecond).orElse(0L));
        issuer.map(GrantIssuer::bucket).ifPresent(bucket -> configure(bucket, nowNanos));
        if (newRule.isEmpty()) {
            requester.refuseAll(outbox);
        }
    }

    /** While the account is in no rule the bucket keeps its level and is not refilled. */
    private void configure(TokenBucket bucket, long nowNanos) {
        bucket.configure(
                rule.map(Rules.Account::tokensPerSecond).orElse(0L),
                rule.map(Rules.Account::burstTokens).orElse(bucket.burst()),
                nowNanos);
    }

    private void ownerChanged(Optional<ControlView.BucketOwner> owner, long nowNanos, Outbox outbox) {
        boolean mine = owner.filter(held -> held.owner().equals(self) && held.sessionId() == control.sessionId())
                .isPresent();
        if (!mine) {
            release(outbox);
        } else if (owner.get().epoch() > startedEpoch) {
            start(owner.get().epoch(), owner.get().startTokens(), nowNanos, outbox);
        }
        requester.ownerChanged(
                owner.map(held -> new GrantRequester.OwnerReference(held.owner(), held.epoch())), nowNanos, outbox);
    }

    private void start(long epoch, long tokens, long nowNanos, Outbox outbox) {
        long rate = rule.map(Rules.Account::tokensPerSecond).orElse(0L);
        long burst = rule.map(Rules.Account::burstTokens).orElse(tokens);
        long level = tokens > 0 ? tokens : tolerance.startTokens(burst);
        TokenBucket bucket = new TokenBucket(rate, burst, level, nowNanos);
        GrantIssuer started = new GrantIssuer(account, self, epoch, control.sessionId(), bucket, nowNanos);
        if (tokens > 0) {
            // After a planned handover the earlier grants are still valid; together with the level they are at most
            // the burst. After a loss (0 tokens) they have expired.
            started.reserveForEarlierEpochs(burst - bucket.level(), nowNanos);
        }
        startedEpoch = epoch;
        issuer = Optional.of(started);
        departure.ifPresent(leaving -> outbox.afterwards(leaving::end));
        departure = Optional.empty();
        LOGGER.atInfo().log("%s: %s, epoch %d, level %d", LogEvent.BUCKET_ACQUIRED, account, epoch, level);
    }

    private void release(Outbox outbox) {
        issuer.ifPresent(
                owned -> LOGGER.atInfo().log("%s: %s, epoch %d", LogEvent.BUCKET_RELEASED, account, owned.epoch()));
        issuer = Optional.empty();
        departure.ifPresent(leaving -> outbox.afterwards(leaving::end));
        departure = Optional.empty();
    }

    private void receive(BudgetMessage.Handover handover, long nowNanos, Outbox outbox) {
        long knownEpoch =
                requester.owner().map(GrantRequester.OwnerReference::epoch).orElse(0L);
        if (handover.epoch() > knownEpoch) {
            announced = Optional.of(new GrantRequester.OwnerReference(handover.owner(), handover.epoch()));
            ownerChanged(
                    Optional.of(new ControlView.BucketOwner(
                            handover.owner(), handover.sessionId(), handover.epoch(), handover.level())),
                    nowNanos,
                    outbox);
        }
        issuer.filter(owned -> owned.epoch() == handover.epoch())
                .ifPresent(owned -> owned.learnEarlierOutstanding(handover.outstanding(), nowNanos));
    }

    private void announceOwnHandover(
            ControlCommand.AssignBucket command,
            Optional<BucketDeparture.NewOwner> held,
            long nowNanos,
            Outbox outbox) {
        boolean committed = held.filter(
                        owner -> owner.owner().equals(command.owner()) && owner.epoch() == command.expectedEpoch() + 1)
                .isPresent();
        if (committed) {
            receive(
                    new BudgetMessage.Handover(
                            account,
                            command.owner(),
                            command.sessionId(),
                            command.expectedEpoch() + 1,
                            command.handedOverTokens(),
                            0),
                    nowNanos,
                    outbox);
        }
    }
}
