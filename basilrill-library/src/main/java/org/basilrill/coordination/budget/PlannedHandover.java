package org.basilrill.coordination.budget;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlView;

/**
 * Planned handover of one bucket: freezes the bucket, transfers its level through the control log and notifies the
 * instances that use it. Once a command is submitted the bucket stays frozen, as the command may still take effect. Not
 * thread safe; guarded by the lock of the shard.
 */
final class PlannedHandover {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final AccountId account;
    private final InstanceId self;
    private final GrantIssuer issuer;
    private final OwnerRanking ranking;
    private final CompletableFuture<Void> completion = new CompletableFuture<>();
    private boolean submitting;
    private long attemptAt;
    private long outstanding;

    PlannedHandover(AccountId account, InstanceId self, GrantIssuer issuer, OwnerRanking ranking, long nowNanos) {
        this.account = account;
        this.self = self;
        this.issuer = issuer;
        this.ranking = ranking;
        this.attemptAt = nowNanos;
    }

    CompletableFuture<Void> completion() {
        return completion;
    }

    /** Completes the future. Called after the lock is released. */
    void complete() {
        completion.complete(null);
    }

    Optional<ControlCommand.AssignBucket> nextCommand(ControlView view, long nowNanos, Outbox outbox) {
        if (submitting || completion.isDone() || attemptAt - nowNanos > 0) {
            return Optional.empty();
        }
        List<InstanceId> successors = view.sessions().keySet().stream()
                .filter(instance -> !instance.equals(self))
                .toList();
        if (successors.isEmpty()) {
            outbox.runAfterUnlock(this::complete);
            submitting = true;
            return Optional.empty();
        }
        issuer.freeze();
        issuer.bucket().advance(nowNanos);
        long level = issuer.bucket().level();
        if (level == 0) {
            // Waits, because 0 tokens would mark the owner as lost, and the new owner would then assume that no earlier
            // grants are valid.
            attemptAt = nowNanos + BudgetTiming.REPORT_DELAY;
            return Optional.empty();
        }
        InstanceId successor = ranking.rank(account, successors).get(0);
        outstanding = issuer.bucket().outstanding();
        submitting = true;
        return Optional.of(new ControlCommand.AssignBucket(
                account, successor, view.sessions().get(successor), issuer.epoch(), level));
    }

    void commandCompleted(
            ControlCommand.AssignBucket command, Optional<NewOwner> reportedOwner, long nowNanos, Outbox outbox) {
        submitting = false;
        attemptAt = nowNanos + BudgetTiming.CLAIM_RETRY_INTERVAL;
        if (reportedOwner.filter(owner -> owner.epoch() > issuer.epoch()).isEmpty()) {
            LOGGER.atWarning().log(
                    "%s: handover of the bucket of client account %s", LogEvent.BUCKET_CLAIM_FAILED, account);
            return;
        }
        if (reportedOwner.get().owner().equals(command.owner())
                && reportedOwner.get().epoch() == issuer.epoch() + 1) {
            sendHandover(command, outbox);
        }
        outbox.runAfterUnlock(this::complete);
    }

    Optional<Long> nextDue() {
        return submitting || completion.isDone() ? Optional.empty() : Optional.of(attemptAt);
    }

    private void sendHandover(ControlCommand.AssignBucket command, Outbox outbox) {
        BudgetMessage.Handover handover = new BudgetMessage.Handover(
                account,
                command.owner(),
                command.sessionId(),
                issuer.epoch() + 1,
                command.handedOverTokens(),
                outstanding);
        outbox.send(command.owner(), handover);
        issuer.requestingInstances().stream()
                .filter(instance -> !instance.equals(self) && !instance.equals(command.owner()))
                .forEach(instance -> outbox.send(instance, handover));
        LOGGER.atInfo().log(
                "%s: %s to %s, level %d",
                LogEvent.BUCKET_HANDED_OVER, account, command.owner(), command.handedOverTokens());
    }

    /** Owner of the bucket according to the result of the command. */
    record NewOwner(InstanceId owner, long epoch) {}
}
