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
 * Issues grants from one bucket at its owner during one epoch. Repeated messages have no effect. Not thread safe;
 * guarded by the lock of the shard.
 */
final class GrantIssuer {
    /** Divisor of the remaining level that limits one look-ahead, so that one instance does not drain the bucket. */
    private static final int MINIMUM_LOOK_AHEAD_DIVISOR = 4;
    /**
     * Incarnation and request number of the key that represents all grants of earlier epochs; no process uses 0 for
     * both.
     */
    private static final long EARLIER_EPOCHS = 0;

    private final AccountId account;
    private final InstanceId self;
    private final long epoch;
    private final long sessionId;
    private final TokenBucket bucket;
    private final GrantKey earlierEpochs;
    private final Map<Requester, RequesterState> requesters = new HashMap<>();
    private final List<PendingRequest> pendingRequests = new ArrayList<>();
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

    /** Stops granting until {@link #unfreeze}; the level can then be handed over. */
    void freeze() {
        frozen = true;
    }

    /** Resumes granting; allowed only if no handover was submitted. */
    void unfreeze() {
        frozen = false;
    }

    boolean isFrozen() {
        return frozen;
    }

    /** Reserves the tokens that grants of earlier epochs may still spend, until they expire. */
    void reserveForEarlierEpochs(long tokens, long nowNanos) {
        bucket.reserve(earlierEpochs, tokens, nowNanos, nowNanos + BudgetTiming.GRANT_LIFETIME);
    }

    /** Reduces the reservation once the earlier owner has reported the outstanding tokens. */
    void updateEarlierOutstanding(long tokens, long nowNanos) {
        bucket.reportRemaining(earlierEpochs, tokens, nowNanos);
    }

    /** Returns the instances that sent a message in this epoch. */
    List<InstanceId> requestingInstances() {
        return requesters.keySet().stream().map(Requester::instance).distinct().toList();
    }

    /** Returns the unspent tokens by instance, as far as reported. */
    Map<InstanceId, Long> outstandingByInstance() {
        Map<InstanceId, Long> tokens = new TreeMap<>();
        bucket.grants().forEach((key, grant) -> tokens.merge(key.requester(), grant.remaining(), Long::sum));
        return tokens;
    }

    /**
     * Handles a message of this epoch.
     *
     * @param mayGrant whether the session lease is valid and the account is in the rules; if not, nothing is granted
     */
    void receive(
            InstanceId sender, BudgetMessage.RequesterUpdate message, boolean mayGrant, long nowNanos, Outbox outbox) {
        if (message.epoch() != epoch) {
            return;
        }
        Requester requester = new Requester(sender, message.incarnation());
        RequesterState state = requesters.computeIfAbsent(requester, key -> new RequesterState());
        state.usedAt = nowNanos;
        if (!state.receivedSequences.accept(message.sequence())) {
            return;
        }
        bucket.advance(nowNanos);
        message.reports().forEach(report -> apply(requester, report, nowNanos));
        message.refunds().forEach(refund -> apply(requester, refund, nowNanos));
        servePendingRequests(mayGrant, nowNanos, outbox);
        message.grantRequest().ifPresent(request -> handle(requester, state, request, mayGrant, nowNanos, outbox));
    }

    /** Grants or refuses queued requests and removes the state of requesters that sent nothing for a long time. */
    void tick(boolean mayGrant, long nowNanos, Outbox outbox) {
        bucket.advance(nowNanos);
        servePendingRequests(mayGrant, nowNanos, outbox);
        requesters.values().removeIf(state -> nowNanos - state.usedAt > 2 * BudgetTiming.REFUND_HORIZON);
    }

    /** Returns the time at which the first queued request can be granted or has to be refused. */
    Optional<Long> nextDue(long nowNanos) {
        if (pendingRequests.isEmpty()) {
            return Optional.empty();
        }
        PendingRequest first = pendingRequests.get(0);
        return Optional.of(
                Times.earlier(first.deadline, nowNanos + bucket.nanosUntil(first.request.minimum(), nowNanos)));
    }

    private void apply(Requester requester, BudgetMessage.Report report, long nowNanos) {
        GrantKey key = new GrantKey(requester.instance, requester.incarnation, report.requestNumber());
        if (report.closed()) {
            bucket.close(key, report.remaining(), nowNanos);
        } else {
            bucket.reportRemaining(key, report.remaining(), nowNanos);
        }
    }

    private void apply(Requester requester, BudgetMessage.Refund refund, long nowNanos) {
        boolean creditable = nowNanos - refund.grantedAtNanos() <= BudgetTiming.REFUND_HORIZON;
        if (creditable && refund.tokens() > 0) {
            GrantKey key = new GrantKey(requester.instance, requester.incarnation, refund.requestNumber());
            bucket.refund(key, refund.tokens(), refund.grantedAtNanos(), nowNanos);
        }
    }

    private void handle(
            Requester requester,
            RequesterState state,
            BudgetMessage.GrantRequest request,
            boolean mayGrant,
            long nowNanos,
            Outbox outbox) {
        boolean valid = request.minimum() > 0 && request.need() >= request.minimum() && request.lookAhead() >= 0;
        if (!mayGrant || frozen || !valid) {
            return;
        }
        GrantKey key = new GrantKey(requester.instance, requester.incarnation, request.number());
        Optional<TokenBucket.Grant> granted = bucket.find(key);
        if (granted.isPresent()) {
            sendResponse(key, granted.get().tokens(), granted.get().grantedAt(), 0, outbox);
            return;
        }
        if (state.grantedRequests.contains(request.number(), nowNanos) || isPending(key)) {
            return;
        }
        PendingRequest candidate = new PendingRequest(key, request, nowNanos + BudgetTiming.OWNER_QUEUE_TIMEOUT);
        if (pendingRequests.isEmpty() && tryGrant(candidate, nowNanos, outbox)) {
            return;
        }
        scarceUntil = nowNanos + BudgetTiming.LOOK_AHEAD_PAUSE;
        boolean refilledSoon = nanosUntil(request.minimum(), nowNanos) <= BudgetTiming.OWNER_QUEUE_TIMEOUT;
        if (refilledSoon || recallGrantsFor(candidate, nowNanos, outbox)) {
            pendingRequests.add(candidate);
        } else {
            refuse(candidate, nowNanos, outbox);
        }
    }

    /** Returns the time until the bucket has the tokens in addition to those for the queued requests. */
    private long nanosUntil(long tokens, long nowNanos) {
        long tokensAhead = pendingRequests.stream()
                .mapToLong(other -> other.request.minimum())
                .sum();
        return bucket.nanosUntil(Math.max(tokens, Math.min(bucket.burst(), tokensAhead + tokens)), nowNanos);
    }

    private boolean isPending(GrantKey key) {
        return pendingRequests.stream().anyMatch(candidate -> candidate.key.equals(key));
    }

    private void servePendingRequests(boolean mayGrant, long nowNanos, Outbox outbox) {
        Iterator<PendingRequest> requests = pendingRequests.iterator();
        boolean earlierRequestBlocked = false;
        while (requests.hasNext()) {
            PendingRequest candidate = requests.next();
            if (!mayGrant || frozen) {
                requests.remove();
            } else if (!earlierRequestBlocked && tryGrant(candidate, nowNanos, outbox)) {
                requests.remove();
            } else if (candidate.deadline - nowNanos <= 0) {
                refuse(candidate, nowNanos, outbox);
                requests.remove();
            } else {
                earlierRequestBlocked = true;
            }
        }
    }

    private boolean tryGrant(PendingRequest candidate, long nowNanos, Outbox outbox) {
        long level = bucket.level();
        BudgetMessage.GrantRequest request = candidate.request;
        if (level < request.minimum()) {
            return false;
        }
        long needed = Math.min(level, request.need());
        boolean scarce = scarceUntil - nowNanos > 0;
        long tokensAhead = scarce ? 0 : Math.min(request.lookAhead(), (level - needed) / lookAheadDivisor());
        long tokens = needed + tokensAhead;
        GrantKey key = candidate.key;
        bucket.grant(key, tokens, nowNanos, nowNanos + BudgetTiming.GRANT_LIFETIME);
        requesters
                .get(new Requester(key.requester(), key.incarnation()))
                .grantedRequests
                .add(key.requestNumber(), nowNanos);
        sendResponse(key, tokens, nowNanos, 0, outbox);
        return true;
    }

    /**
     * Grows with the number of requesters: with many instances, unspent look-ahead of a quarter each left no tokens for
     * those that needed them.
     */
    private long lookAheadDivisor() {
        return Math.max(MINIMUM_LOOK_AHEAD_DIVISOR, requesters.size());
    }

    /** Recalls unspent grants of other instances if they and the level cover the minimum; returns whether they do. */
    private boolean recallGrantsFor(PendingRequest candidate, long nowNanos, Outbox outbox) {
        InstanceId requestingInstance = candidate.key.requester();
        Map<InstanceId, Long> recallable = new TreeMap<>(outstandingByInstance());
        recallable.remove(requestingInstance);
        // Grants of earlier epochs are recorded under this instance and cannot be recalled.
        bucket.find(earlierEpochs)
                .ifPresent(
                        grant -> recallable.computeIfPresent(self, (instance, tokens) -> tokens - grant.remaining()));
        recallable.values().removeIf(tokens -> tokens <= 0);
        long obtainable = bucket.level()
                + recallable.values().stream().mapToLong(Long::longValue).sum();
        if (obtainable < candidate.request.minimum()) {
            return false;
        }
        requesters.forEach((requester, state) -> {
            boolean recentlyRecalled = state.recallSent && nowNanos - state.recalledAt < BudgetTiming.RECALL_INTERVAL;
            if (recallable.containsKey(requester.instance) && !recentlyRecalled) {
                state.recallSent = true;
                state.recalledAt = nowNanos;
                outbox.send(requester.instance, new BudgetMessage.Recall(account, epoch));
            }
        });
        return true;
    }

    private void refuse(PendingRequest candidate, long nowNanos, Outbox outbox) {
        long wait = Math.max(BudgetTiming.MINIMUM_RETRY_DELAY, nanosUntil(candidate.request.minimum(), nowNanos));
        sendResponse(candidate.key, 0, nowNanos, wait, outbox);
    }

    private void sendResponse(GrantKey key, long tokens, long grantedAt, long retryNanos, Outbox outbox) {
        outbox.send(
                key.requester(),
                new BudgetMessage.GrantResponse(
                        account,
                        epoch,
                        key.incarnation(),
                        key.requestNumber(),
                        tokens,
                        grantedAt,
                        Duration.ofNanos(retryNanos)));
    }

    /** One process that requests grants. */
    private record Requester(InstanceId instance, long incarnation) {}

    /** State of one requester, used to detect repeated messages and to limit recalls. */
    private static final class RequesterState {
        private final SequenceWindow receivedSequences = new SequenceWindow();
        private final GrantedRequests grantedRequests = new GrantedRequests();
        private long usedAt;
        private boolean recallSent;
        private long recalledAt;
    }

    /** A grant request that is queued until tokens are refilled or returned. */
    private record PendingRequest(GrantKey key, BudgetMessage.GrantRequest request, long deadline) {}
}
