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
 * Budget of one account at one instance, which requests grants and issues them while the control log assigns the bucket
 * to it. Not thread safe; guarded by the lock of the shard.
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
    private Optional<PlannedHandover> plannedHandover = Optional.empty();
    private ControlView view = ControlView.empty();
    /** Highest epoch for which this instance started the bucket; no epoch is started twice. */
    private long startedEpoch;
    /** Owner announced by a handover that the view does not include yet. */
    private Optional<GrantRequester.OwnerReference> announcedOwner = Optional.empty();

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
                ErrorCode.BUDGET_UNAVAILABLE, String.format("client account %s is not in the rules", account));
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
        if (announcedOwner.filter(reference -> reference.epoch() > knownEpoch).isEmpty()) {
            announcedOwner = Optional.empty();
            ownerChanged(owner, nowNanos, outbox);
        }
    }

    void charge(
            long tokens, long deadline, CompletableFuture<TokenAdmission.Charge> result, long nowNanos, Outbox outbox) {
        Optional<BasilrillException> refusal = findRefusal(tokens);
        if (refusal.isPresent()) {
            outbox.runAfterUnlock(() -> result.completeExceptionally(refusal.get()));
            return;
        }
        requester.charge(tokens, deadline, result, nowNanos, outbox);
    }

    void refund(List<LocalPool.GrantCharge> grantCharges, long unused, long nowNanos, Outbox outbox) {
        requester.refund(grantCharges, unused, nowNanos, outbox);
    }

    void receive(InstanceId sender, BudgetMessage message, long nowNanos, Outbox outbox) {
        if (message instanceof BudgetMessage.RequesterUpdate update) {
            issuer.ifPresent(
                    currentIssuer -> currentIssuer.receive(sender, update, mayGrant(currentIssuer), nowNanos, outbox));
        } else if (message instanceof BudgetMessage.GrantResponse response) {
            requester.receive(response, nowNanos, outbox);
        } else if (message instanceof BudgetMessage.Recall recall) {
            requester.receive(recall, nowNanos, outbox);
        } else if (message instanceof BudgetMessage.Handover handover) {
            receive(handover, nowNanos, outbox);
        }
    }

    void tick(long nowNanos, Outbox outbox) {
        issuer.ifPresent(currentIssuer -> currentIssuer.tick(mayGrant(currentIssuer), nowNanos, outbox));
        requester.tick(nowNanos, outbox);
    }

    /** Returns the command to submit now, if any: a claim, or a handover while the instance drains. */
    Optional<ControlCommand.AssignBucket> nextCommand(boolean draining, long nowNanos, Outbox outbox) {
        if (!control.holdsSession()) {
            return Optional.empty();
        }
        if (plannedHandover.isPresent()) {
            return plannedHandover.get().nextCommand(view, nowNanos, outbox);
        }
        return draining ? Optional.empty() : claims.nextClaim(view, control.sessionId(), nowNanos);
    }

    /** Processes the result of a command. Without a handover message the new owner is read from the view. */
    void commandCompleted(
            ControlCommand.AssignBucket command,
            Optional<PlannedHandover.NewOwner> reportedOwner,
            long nowNanos,
            Outbox outbox) {
        if (!command.owner().equals(self)) {
            plannedHandover.ifPresent(handover -> handover.commandCompleted(command, reportedOwner, nowNanos, outbox));
            applyOwnHandover(command, reportedOwner, nowNanos, outbox);
            return;
        }
        if (reportedOwner.isEmpty()) {
            LOGGER.atWarning().log(
                    "%s: claim of the bucket of client account %s", LogEvent.BUCKET_CLAIM_FAILED, account);
        }
        claims.claimCompleted(nowNanos);
    }

    /**
     * Starts the planned handover. The future completes once another instance owns the bucket, or if there is no other.
     */
    CompletableFuture<Void> startHandover(long nowNanos) {
        if (plannedHandover.isPresent()) {
            return plannedHandover.get().completion();
        }
        Optional<GrantIssuer> currentIssuer = issuer.filter(candidate -> candidate.sessionId() == control.sessionId());
        if (currentIssuer.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        plannedHandover = Optional.of(new PlannedHandover(account, self, currentIssuer.get(), ranking, nowNanos));
        return plannedHandover.get().completion();
    }

    Optional<Long> nextDue(boolean draining, long nowNanos) {
        Optional<Long> due = Times.earlier(
                requester.nextDue(nowNanos), issuer.flatMap(currentIssuer -> currentIssuer.nextDue(nowNanos)));
        Optional<Long> command = plannedHandover.isPresent()
                ? plannedHandover.flatMap(PlannedHandover::nextDue)
                : draining ? Optional.empty() : claims.nextDue();
        if (command.isPresent() && !control.holdsSession()) {
            // Polls, because the session can be renewed without a new view.
            return Times.earlier(due, nowNanos + BudgetTiming.CLAIM_RETRY_INTERVAL);
        }
        return Times.earlier(due, command);
    }

    BudgetSnapshot snapshot(long nowNanos) {
        Optional<GrantIssuer> grantingIssuer = issuer.filter(this::mayGrant);
        grantingIssuer.ifPresent(currentIssuer -> currentIssuer.bucket().advance(nowNanos));
        return new BudgetSnapshot(
                account,
                requester.owner().map(GrantRequester.OwnerReference::instance),
                requester.owner().map(GrantRequester.OwnerReference::epoch).orElse(0L),
                grantingIssuer.map(currentIssuer -> new BudgetSnapshot.Bucket(
                        currentIssuer.bucket().level(),
                        currentIssuer.bucket().burst(),
                        currentIssuer.outstandingByInstance())),
                requester.unspent(nowNanos),
                requester.queuedCount());
    }

    private Optional<BasilrillException> findRefusal(long tokens) {
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

    private boolean mayGrant(GrantIssuer currentIssuer) {
        return rule.isPresent() && control.holdsSession() && control.sessionId() == currentIssuer.sessionId();
    }

    private void ruleChanged(Optional<Rules.Account> newRule, long nowNanos, Outbox outbox) {
        rule = newRule;
        requester.configure(newRule.map(Rules.Account::tokensPerSecond).orElse(0L));
        issuer.map(GrantIssuer::bucket).ifPresent(bucket -> configureBucket(bucket, nowNanos));
        if (newRule.isEmpty()) {
            requester.refuseAll(outbox);
        }
    }

    /** While the account is not in the rules, the bucket keeps its level and is not refilled. */
    private void configureBucket(TokenBucket bucket, long nowNanos) {
        bucket.configure(
                rule.map(Rules.Account::tokensPerSecond).orElse(0L),
                rule.map(Rules.Account::burstTokens).orElse(bucket.burst()),
                nowNanos);
    }

    private void ownerChanged(Optional<ControlView.BucketOwner> owner, long nowNanos, Outbox outbox) {
        boolean ownedHere = owner.filter(
                        current -> current.owner().equals(self) && current.sessionId() == control.sessionId())
                .isPresent();
        if (!ownedHere) {
            releaseBucket(outbox);
        } else if (owner.get().epoch() > startedEpoch) {
            startBucket(owner.get().epoch(), owner.get().startTokens(), nowNanos, outbox);
        }
        requester.ownerChanged(
                owner.map(current -> new GrantRequester.OwnerReference(current.owner(), current.epoch())),
                nowNanos,
                outbox);
    }

    private void startBucket(long epoch, long tokens, long nowNanos, Outbox outbox) {
        long rate = rule.map(Rules.Account::tokensPerSecond).orElse(0L);
        long burst = rule.map(Rules.Account::burstTokens).orElse(tokens);
        long level = tokens > 0 ? tokens : tolerance.startTokens(burst);
        TokenBucket bucket = new TokenBucket(rate, burst, level, nowNanos);
        GrantIssuer started = new GrantIssuer(account, self, epoch, control.sessionId(), bucket, nowNanos);
        if (tokens > 0) {
            // After a planned handover the earlier grants are still valid; their sum and the level do not exceed the
            // burst. After the loss of an owner (0 tokens) they have expired.
            started.reserveForEarlierEpochs(burst - bucket.level(), nowNanos);
        }
        startedEpoch = epoch;
        issuer = Optional.of(started);
        plannedHandover.ifPresent(handover -> outbox.runAfterUnlock(handover::complete));
        plannedHandover = Optional.empty();
        LOGGER.atInfo().log("%s: %s, epoch %d, level %d", LogEvent.BUCKET_ACQUIRED, account, epoch, level);
    }

    private void releaseBucket(Outbox outbox) {
        issuer.ifPresent(currentIssuer ->
                LOGGER.atInfo().log("%s: %s, epoch %d", LogEvent.BUCKET_RELEASED, account, currentIssuer.epoch()));
        issuer = Optional.empty();
        plannedHandover.ifPresent(handover -> outbox.runAfterUnlock(handover::complete));
        plannedHandover = Optional.empty();
    }

    private void receive(BudgetMessage.Handover handover, long nowNanos, Outbox outbox) {
        long knownEpoch =
                requester.owner().map(GrantRequester.OwnerReference::epoch).orElse(0L);
        if (handover.epoch() > knownEpoch) {
            announcedOwner = Optional.of(new GrantRequester.OwnerReference(handover.owner(), handover.epoch()));
            ownerChanged(
                    Optional.of(new ControlView.BucketOwner(
                            handover.owner(), handover.sessionId(), handover.epoch(), handover.level())),
                    nowNanos,
                    outbox);
        }
        issuer.filter(currentIssuer -> currentIssuer.epoch() == handover.epoch())
                .ifPresent(currentIssuer -> currentIssuer.updateEarlierOutstanding(handover.outstanding(), nowNanos));
    }

    private void applyOwnHandover(
            ControlCommand.AssignBucket command,
            Optional<PlannedHandover.NewOwner> reportedOwner,
            long nowNanos,
            Outbox outbox) {
        boolean committed = reportedOwner
                .filter(owner -> owner.owner().equals(command.owner()) && owner.epoch() == command.expectedEpoch() + 1)
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
