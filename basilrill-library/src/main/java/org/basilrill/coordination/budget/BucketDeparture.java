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
 * Planned handover of one bucket: freezes it, hands the level over through the control log and tells the instances that
 * use it. Once a command is submitted the bucket stays frozen, as the command may still take effect. Not thread safe;
 * guarded by the lock of the shard.
 */
final class BucketDeparture {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final AccountId account;
    private final InstanceId self;
    private final GrantIssuer issuer;
    private final OwnerRanking ranking;
    private final CompletableFuture<Void> completion = new CompletableFuture<>();
    private boolean submitting;
    private long attemptAt;
    private long outstanding;

    BucketDeparture(AccountId account, InstanceId self, GrantIssuer issuer, OwnerRanking ranking, long nowNanos) {
        this.account = account;
        this.self = self;
        this.issuer = issuer;
        this.ranking = ranking;
        this.attemptAt = nowNanos;
    }

    CompletableFuture<Void> completion() {
        return completion;
    }

    /** Completes the future; called after the lock is released. */
    void end() {
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
            outbox.afterwards(this::end);
            submitting = true;
            return Optional.empty();
        }
        issuer.freeze();
        issuer.bucket().advance(nowNanos);
        long level = issuer.bucket().level();
        if (level == 0) {
            // A start at 0 tokens means a loss, after which the new owner expects no earlier grants.
            attemptAt = nowNanos + BudgetTiming.REPORT_DELAY;
            return Optional.empty();
        }
        InstanceId successor = ranking.rank(account, successors).get(0);
        outstanding = issuer.bucket().outstanding();
        submitting = true;
        return Optional.of(new ControlCommand.AssignBucket(
                account, successor, view.sessions().get(successor), issuer.epoch(), level));
    }

    void commandEnded(ControlCommand.AssignBucket command, Optional<NewOwner> held, long nowNanos, Outbox outbox) {
        submitting = false;
        attemptAt = nowNanos + BudgetTiming.CLAIM_REPEAT;
        if (held.filter(owner -> owner.epoch() > issuer.epoch()).isEmpty()) {
            LOGGER.atWarning().log("%s: handover of %s", LogEvent.BUCKET_CLAIM_FAILED, account);
            return;
        }
        if (held.get().owner().equals(command.owner()) && held.get().epoch() == issuer.epoch() + 1) {
            announce(command, outbox);
        }
        outbox.afterwards(this::end);
    }

    Optional<Long> nextDue() {
        return submitting || completion.isDone() ? Optional.empty() : Optional.of(attemptAt);
    }

    private void announce(ControlCommand.AssignBucket command, Outbox outbox) {
        BudgetMessage.Handover handover = new BudgetMessage.Handover(
                account,
                command.owner(),
                command.sessionId(),
                issuer.epoch() + 1,
                command.handedOverTokens(),
                outstanding);
        outbox.send(command.owner(), handover);
        issuer.knownRequesters().stream()
                .filter(instance -> !instance.equals(self) && !instance.equals(command.owner()))
                .forEach(instance -> outbox.send(instance, handover));
        LOGGER.atInfo().log(
                "%s: %s to %s, level %d",
                LogEvent.BUCKET_HANDED_OVER, account, command.owner(), command.handedOverTokens());
    }

    /** Owner of the bucket according to the answer of the control log. */
    record NewOwner(InstanceId owner, long epoch) {}
}
