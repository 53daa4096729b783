package org.basilrill.coordination.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.state.budget.GrantKey;
import org.basilrill.state.budget.SequenceWindow;
import org.basilrill.state.budget.TokenBucket;

/**
 * Owner's side of one bucket during one epoch: answers asks with grants. Repeated messages have no second effect. Not
 * thread safe; guarded by the lock of the shard.
 */
final class GrantIssuer {
    /** One look-ahead takes at most this part of the level left, so that one instance does not drain it. */
    private static final int LEAST_LOOK_AHEAD_DIVISOR = 4;
    /** Stands for all grants of earlier epochs; no process has incarnation and ask 0 together. */
    private static final long EARLIER_EPOCHS = 0;

    private final AccountId account;
    private final InstanceId self;
    private final long epoch;
    private final long sessionId;
    private final TokenBucket bucket;
    private final GrantKey earlierEpochs;
    private final Map<Requester, RequesterState> requesters = new HashMap<>();
    private final List<PendingAsk> pending = new ArrayList<>();
    private long scarceUntil;
    private boolean frozen;

    GrantIssuer(AccountId account, InstanceId self, long epoch, long sessionId, TokenBucket bucket, long nowNanos) {
        this.account = account;
        this.self = self;
        this.epoch = epoch;
        this.sessionId = sessionId;
        this.bucket = bucket;
        this.earlierEpochs = new GrantKey(self, EARLIER_EPOCHS, EARLIER_EPOCHS);
        this.scarceUntil = nowNanos;
    }

    long epoch() {
        return epoch;
    }

    long sessionId() {
        return sessionId;
    }

    TokenBucket bucket() {
        return bucket;
    }

    /** Stops granting for good; the level can then be handed over. */
    void freeze() {
        frozen = true;
    }

    /** Grants again; allowed only if no handover was submitted. */
    void unfreeze() {
        frozen = false;
    }

    boolean isFrozen() {
        return frozen;
    }

    /** Limits the level by what grants of earlier epochs may still spend, until they expire. */
    void reserveForEarlierEpochs(long tokens, long nowNanos) {
        bucket.reserve(earlierEpochs, tokens, nowNanos, nowNanos + BudgetTiming.GRANT_LIFETIME);
    }

    /** Lowers the reserve once the earlier owner has told what is outstanding. */
    void learnEarlierOutstanding(long tokens, long nowNanos) {
        bucket.reportRemaining(earlierEpochs, tokens, nowNanos);
    }

    /** Returns the instances that sent a message in this epoch. */
    List<InstanceId> knownRequesters() {
        return requesters.keySet().stream().map(Requester::instance).distinct().toList();
    }

    /** Returns the unspent tokens by instance as far as known here. */
    Map<InstanceId, Long> outstandingByInstance() {
        Map<InstanceId, Long> tokens = new TreeMap<>();
        bucket.grants().forEach((key, grant) -> tokens.merge(key.requester(), grant.remaining(), Long::sum));
        return tokens;
    }

    /**
     * Handles a message of this epoch.
     *
     * @param acting whether the lease holds and the account is in the rules; without, nothing is granted
     */
    void receive(InstanceId sender, BudgetMessage.FromRequester message, boolean acting, long nowNanos, Outbox outbox) {
        if (message.epoch() != epoch) {
            return;
        }
        Requester requester = new Requester(sender, message.incarnation());
        RequesterState state = requesters.computeIfAbsent(requester, key -> new RequesterState());
        state.usedAt = nowNanos;
        if (!state.messages.accept(message.sequence())) {
            return;
        }
        bucket.advance(nowNanos);
        message.reports().forEach(report -> apply(requester, report, nowNanos));
        message.refunds().forEach(refund -> apply(requester, refund, nowNanos));
        servePending(acting, nowNanos, outbox);
        message.ask().ifPresent(ask -> handle(requester, state, ask, acting, nowNanos, outbox));
    }

    /** Answers pending asks that became due and forgets requesters that were silent for long. */
    void tick(boolean acting, long nowNanos, Outbox outbox) {
        bucket.advance(nowNanos);
        servePending(acting, nowNanos, outbox);
        requesters.values().removeIf(state -> nowNanos - state.usedAt > 2 * BudgetTiming.REFUND_HORIZON);
    }

    /** Returns the time at which the first pending ask can be granted or has to be refused. */
    Optional<Long> nextDue(long nowNanos) {
        if (pending.isEmpty()) {
            return Optional.empty();
        }
        PendingAsk first = pending.get(0);
        return Optional.of(Times.earlier(first.due, nowNanos + bucket.nanosUntil(first.ask.minimum(), nowNanos)));
    }

    private void apply(Requester requester, BudgetMessage.Report report, long nowNanos) {
        GrantKey key = new GrantKey(requester.instance, requester.incarnation, report.ask());
        if (report.closed()) {
            bucket.close(key, report.remaining(), nowNanos);
        } else {
            bucket.reportRemaining(key, report.remaining(), nowNanos);
        }
    }

    private void apply(Requester requester, BudgetMessage.Refund refund, long nowNanos) {
        boolean known = nowNanos - refund.grantedAtNanos() <= BudgetTiming.REFUND_HORIZON;
        if (known && refund.tokens() > 0) {
            GrantKey key = new GrantKey(requester.instance, requester.incarnation, refund.ask());
            bucket.refund(key, refund.tokens(), refund.grantedAtNanos(), nowNanos);
        }
    }

    private void handle(
            Requester requester,
            RequesterState state,
            BudgetMessage.Ask ask,
            boolean acting,
            long nowNanos,
            Outbox outbox) {
        boolean valid = ask.minimum() > 0 && ask.need() >= ask.minimum() && ask.lookAhead() >= 0;
        if (!acting || frozen || !valid) {
            return;
        }
        GrantKey key = new GrantKey(requester.instance, requester.incarnation, ask.number());
        Optional<TokenBucket.Grant> granted = bucket.find(key);
        if (granted.isPresent()) {
            answer(key, granted.get().tokens(), granted.get().grantedAt(), 0, outbox);
            return;
        }
        if (state.grantedAsks.contains(ask.number(), nowNanos) || isPending(key)) {
            return;
        }
        PendingAsk candidate = new PendingAsk(key, ask, nowNanos + BudgetTiming.SHORT_WAIT);
        if (pending.isEmpty() && tryGrant(candidate, nowNanos, outbox)) {
            return;
        }
        scarceUntil = nowNanos + BudgetTiming.LOOK_AHEAD_PAUSE;
        boolean refilledSoon = nanosUntil(ask.minimum(), nowNanos) <= BudgetTiming.SHORT_WAIT;
        if (refilledSoon || recallFor(candidate, nowNanos, outbox)) {
            pending.add(candidate);
        } else {
            refuse(candidate, nowNanos, outbox);
        }
    }

    /** Returns the time until the tokens are there once the pending asks are served. */
    private long nanosUntil(long tokens, long nowNanos) {
        long ahead = pending.stream().mapToLong(other -> other.ask.minimum()).sum();
        return bucket.nanosUntil(Math.max(tokens, Math.min(bucket.burst(), ahead + tokens)), nowNanos);
    }

    private boolean isPending(GrantKey key) {
        return pending.stream().anyMatch(candidate -> candidate.key.equals(key));
    }

    private void servePending(boolean acting, long nowNanos, Outbox outbox) {
        Iterator<PendingAsk> asks = pending.iterator();
        boolean blocked = false;
        while (asks.hasNext()) {
            PendingAsk candidate = asks.next();
            if (!acting || frozen) {
                asks.remove();
            } else if (!blocked && tryGrant(candidate, nowNanos, outbox)) {
                asks.remove();
            } else if (candidate.due - nowNanos <= 0) {
                refuse(candidate, nowNanos, outbox);
                asks.remove();
            } else {
                blocked = true;
            }
        }
    }

    private boolean tryGrant(PendingAsk candidate, long nowNanos, Outbox outbox) {
        long level = bucket.level();
        BudgetMessage.Ask ask = candidate.ask;
        if (level < ask.minimum()) {
            return false;
        }
        long needed = Math.min(level, ask.need());
        boolean scarce = scarceUntil - nowNanos > 0;
        long ahead = scarce ? 0 : Math.min(ask.lookAhead(), (level - needed) / lookAheadDivisor());
        long tokens = needed + ahead;
        GrantKey key = candidate.key;
        bucket.grant(key, tokens, nowNanos, nowNanos + BudgetTiming.GRANT_LIFETIME);
        requesters
                .get(new Requester(key.requester(), key.incarnation()))
                .grantedAsks
                .add(key.ask(), nowNanos);
        answer(key, tokens, nowNanos, 0, outbox);
        return true;
    }

    /** With many instances, unspent grants of a quarter each left nothing for those that needed tokens. */
    private long lookAheadDivisor() {
        return Math.max(LEAST_LOOK_AHEAD_DIVISOR, requesters.size());
    }

    /** Recalls unspent grants of other instances if they can make up what is missing. */
    private boolean recallFor(PendingAsk candidate, long nowNanos, Outbox outbox) {
        InstanceId asking = candidate.key.requester();
        Map<InstanceId, Long> held = new TreeMap<>(outstandingByInstance());
        held.remove(asking);
        // Grants of earlier epochs are kept under this instance's name and cannot be recalled.
        bucket.find(earlierEpochs)
                .ifPresent(grant -> held.computeIfPresent(self, (instance, tokens) -> tokens - grant.remaining()));
        held.values().removeIf(tokens -> tokens <= 0);
        long reachable = bucket.level()
                + held.values().stream().mapToLong(Long::longValue).sum();
        if (reachable < candidate.ask.minimum()) {
            return false;
        }
        requesters.forEach((requester, state) -> {
            boolean recent = state.recalled && nowNanos - state.recalledAt < BudgetTiming.RECALL_INTERVAL;
            if (held.containsKey(requester.instance) && !recent) {
                state.recalled = true;
                state.recalledAt = nowNanos;
                outbox.send(requester.instance, new BudgetMessage.Recall(account, epoch));
            }
        });
        return true;
    }

    private void refuse(PendingAsk candidate, long nowNanos, Outbox outbox) {
        long wait = Math.max(BudgetTiming.MINIMUM_RETRY, nanosUntil(candidate.ask.minimum(), nowNanos));
        answer(candidate.key, 0, nowNanos, wait, outbox);
    }

    private void answer(GrantKey key, long tokens, long grantedAt, long retryNanos, Outbox outbox) {
        outbox.send(
                key.requester(),
                new BudgetMessage.Answer(
                        account, epoch, key.incarnation(), key.ask(), tokens, grantedAt, Duration.ofNanos(retryNanos)));
    }

    /** One process that asks. */
    private record Requester(InstanceId instance, long incarnation) {}

    /** What is remembered of one requester to recognise repeated messages. */
    private static final class RequesterState {
        private final SequenceWindow messages = new SequenceWindow();
        private final GrantedRequests grantedAsks = new GrantedRequests();
        private long usedAt;
        private boolean recalled;
        private long recalledAt;
    }

    /** An ask that waits for recalled grants. */
    private record PendingAsk(GrantKey key, BudgetMessage.Ask ask, long due) {}
}
