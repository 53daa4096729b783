package org.basilrill.coordination.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.admission.TokenAdmission;

/**
 * Charges the requests of one account to unspent grants and requests more grants from the owner. Not thread safe;
 * guarded by the lock of the shard.
 */
final class GrantRequester {
    private final AccountId account;
    private final long incarnation;
    private final Function<List<LocalPool.GrantCharge>, TokenAdmission.Charge> chargeFactory;
    private final LocalPool pool = new LocalPool();
    private final List<QueuedCharge> queuedCharges = new LinkedList<>();
    private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
    private Optional<OpenRequest> currentRequest = Optional.empty();
    private Optional<OwnerReference> owner = Optional.empty();
    private Optional<Long> unresponsiveSince = Optional.empty();
    private long tokensPerSecond;
    private long lastRequestNumber;
    private long lastSequence;

    GrantRequester(
            AccountId account,
            long incarnation,
            Function<List<LocalPool.GrantCharge>, TokenAdmission.Charge> chargeFactory) {
        this.account = account;
        this.incarnation = incarnation;
        this.chargeFactory = chargeFactory;
    }

    void configure(long newTokensPerSecond) {
        tokensPerSecond = newTokensPerSecond;
    }

    /** Switches to another owner and requests a grant for the queued charges from it at once. */
    void ownerChanged(Optional<OwnerReference> newOwner, long nowNanos, Outbox outbox) {
        if (owner.equals(newOwner)) {
            return;
        }
        owner = newOwner;
        currentRequest = Optional.empty();
        queuedCharges.forEach(queuedCharge -> queuedCharge.requestNumber = 0);
        requestIfNeeded(nowNanos, outbox);
    }

    Optional<OwnerReference> owner() {
        return owner;
    }

    long unspent(long nowNanos) {
        return pool.remaining(nowNanos);
    }

    int queuedCount() {
        return queuedCharges.size();
    }

    /** Charges the tokens to unspent grants at once, or queues the charge until the owner grants tokens. */
    void charge(
            long tokens, long deadline, CompletableFuture<TokenAdmission.Charge> result, long nowNanos, Outbox outbox) {
        boolean ownerUnresponsive = unresponsiveSince
                .filter(since -> nowNanos - since > BudgetTiming.REQUEST_RETRY_INTERVAL)
                .isPresent();
        if (queuedCharges.isEmpty() || ownerUnresponsive) {
            Optional<List<LocalPool.GrantCharge>> grantCharges = pool.trySpend(tokens, nowNanos);
            if (grantCharges.isPresent()) {
                complete(result, grantCharges.get(), outbox);
                return;
            }
        }
        queuedCharges.add(new QueuedCharge(tokens, deadline, result));
        tick(nowNanos, outbox);
    }

    void refund(List<LocalPool.GrantCharge> grantCharges, long unused, long nowNanos, Outbox outbox) {
        pool.refund(grantCharges, unused, nowNanos);
        serveQueuedCharges(nowNanos, outbox);
    }

    /** Refuses all queued charges, as the account is no longer in the rules. */
    void refuseAll(Outbox outbox) {
        queuedCharges.forEach(queuedCharge -> refuse(queuedCharge, AccountBudget.unknownAccount(account), outbox));
        queuedCharges.clear();
    }

    /** Processes a grant or a refusal. A response to a request that is not open has no effect. */
    void receive(BudgetMessage.GrantResponse response, long nowNanos, Outbox outbox) {
        OpenRequest request = openRequests.get(response.requestNumber());
        boolean matches = response.incarnation() == incarnation && request != null && request.epoch == response.epoch();
        if (!matches || nowNanos - request.firstSent >= BudgetTiming.GRANT_LIFETIME) {
            return;
        }
        unresponsiveSince = Optional.empty();
        if (response.tokens() > 0) {
            openRequests.remove(response.requestNumber());
            pool.add(new LocalGrant(response, request.firstSent + BudgetTiming.GRANT_LIFETIME, nowNanos));
        }
        if (currentRequest.filter(request::equals).isPresent()) {
            currentRequest = Optional.empty();
        }
        serveQueuedCharges(nowNanos, outbox);
        refuseShort(request, response, nowNanos, outbox);
        requestIfNeeded(nowNanos, outbox);
    }

    /** Returns the unspent grants to the owner. */
    void receive(BudgetMessage.Recall recall, long nowNanos, Outbox outbox) {
        if (owner.filter(known -> known.epoch == recall.epoch()).isPresent()) {
            sendMessage(Optional.empty(), true, nowNanos, outbox);
        }
    }

    /** Sends due reports, resends requests without a response and refuses charges whose deadline has passed. */
    void tick(long nowNanos, Outbox outbox) {
        openRequests.values().removeIf(request -> nowNanos - request.firstSent >= BudgetTiming.GRANT_LIFETIME);
        refuseExpired(nowNanos, outbox);
        if (queuedCharges.isEmpty()) {
            currentRequest = Optional.empty();
            unresponsiveSince = Optional.empty();
        }
        requestIfNeeded(nowNanos, outbox);
        retryRequest(nowNanos, outbox);
        if (pool.isReportDue(nowNanos)) {
            sendMessage(Optional.empty(), false, nowNanos, outbox);
        }
    }

    Optional<Long> nextDue(long nowNanos) {
        Optional<Long> due = pool.nextDue(nowNanos);
        for (QueuedCharge queuedCharge : queuedCharges) {
            due = Times.earlier(due, queuedCharge.deadline);
        }
        return Times.earlier(
                due, currentRequest.map(request -> request.lastSent + BudgetTiming.REQUEST_RETRY_INTERVAL));
    }

    private void serveQueuedCharges(long nowNanos, Outbox outbox) {
        Iterator<QueuedCharge> iterator = queuedCharges.iterator();
        while (iterator.hasNext()) {
            QueuedCharge queuedCharge = iterator.next();
            Optional<List<LocalPool.GrantCharge>> grantCharges = pool.trySpend(queuedCharge.tokens, nowNanos);
            if (grantCharges.isPresent()) {
                iterator.remove();
                complete(queuedCharge.result, grantCharges.get(), outbox);
            }
        }
    }

    private void complete(
            CompletableFuture<TokenAdmission.Charge> result, List<LocalPool.GrantCharge> grantCharges, Outbox outbox) {
        outbox.runAfterUnlock(() -> {
            TokenAdmission.Charge charge = chargeFactory.apply(grantCharges);
            if (!result.complete(charge)) {
                charge.settle(0);
            }
        });
    }

    private void refuseShort(OpenRequest request, BudgetMessage.GrantResponse response, long nowNanos, Outbox outbox) {
        long localTokens = pool.remaining(nowNanos);
        // Local grants that ended since the request was sent may leave a charge short of tokens although the bucket had
        // enough.
        boolean shortOfTokens = response.tokens() < request.message.need();
        Iterator<QueuedCharge> iterator = queuedCharges.iterator();
        while (iterator.hasNext()) {
            QueuedCharge queuedCharge = iterator.next();
            if (queuedCharge.requestNumber == request.number && shortOfTokens) {
                iterator.remove();
                long missing = response.tokens() > 0
                        ? queuedCharge.tokens - localTokens
                        : queuedCharge.tokens - localTokens - request.minimum;
                long wait = response.retryAfter().toNanos() + refillNanos(missing);
                String detail = String.format(
                        "client account %s has %d tokens fewer than the request needs",
                        account, queuedCharge.tokens - localTokens);
                refuse(queuedCharge, refusal(ErrorCode.RATE_EXCEEDED, detail, wait), outbox);
            }
        }
    }

    private long refillNanos(long tokens) {
        if (tokens <= 0) {
            return 0;
        }
        double seconds = (double) tokens / Math.max(1, tokensPerSecond);
        return (long) Math.ceil(seconds * TimeUnit.SECONDS.toNanos(1));
    }

    private void refuseExpired(long nowNanos, Outbox outbox) {
        Iterator<QueuedCharge> iterator = queuedCharges.iterator();
        while (iterator.hasNext()) {
            QueuedCharge queuedCharge = iterator.next();
            if (queuedCharge.deadline - nowNanos <= 0) {
                iterator.remove();
                long unresponsiveNanos = nowNanos - unresponsiveSince.orElse(nowNanos);
                long wait = Math.max(BudgetTiming.IDLE_RETURN_DELAY, BudgetTiming.OWNER_RECOVERY - unresponsiveNanos);
                String detail = String.format("owner of the bucket of client account %s is unresponsive", account);
                refuse(queuedCharge, refusal(ErrorCode.BUDGET_UNAVAILABLE, detail, wait), outbox);
            }
        }
    }

    private static BasilrillException refusal(ErrorCode code, String detail, long waitNanos) {
        long wait = Math.max(BudgetTiming.MINIMUM_RETRY_DELAY, waitNanos);
        return new BasilrillException(code, detail).withRetryAfter(Duration.ofNanos(wait));
    }

    private static void refuse(QueuedCharge queuedCharge, BasilrillException refusal, Outbox outbox) {
        outbox.runAfterUnlock(() -> queuedCharge.result.completeExceptionally(refusal));
    }

    private void requestIfNeeded(long nowNanos, Outbox outbox) {
        if (queuedCharges.isEmpty() || currentRequest.isPresent()) {
            return;
        }
        if (unresponsiveSince.isEmpty()) {
            unresponsiveSince = Optional.of(nowNanos);
        }
        if (owner.isEmpty()) {
            return;
        }
        pool.extendIdleTimes(nowNanos);
        long localTokens = pool.remaining(nowNanos);
        long minimum = Math.max(1, queuedCharges.get(0).tokens - localTokens);
        long need = Math.max(
                minimum,
                queuedCharges.stream()
                                .mapToLong(queuedCharge -> queuedCharge.tokens)
                                .sum()
                        - localTokens);
        lastRequestNumber++;
        BudgetMessage.GrantRequest request =
                new BudgetMessage.GrantRequest(lastRequestNumber, minimum, need, pool.lookAhead(nowNanos));
        OpenRequest openRequest = new OpenRequest(lastRequestNumber, owner.get().epoch, minimum, request, nowNanos);
        queuedCharges.forEach(queuedCharge -> queuedCharge.requestNumber = openRequest.number);
        openRequests.put(openRequest.number, openRequest);
        currentRequest = Optional.of(openRequest);
        sendMessage(Optional.of(request), false, nowNanos, outbox);
    }

    private void retryRequest(long nowNanos, Outbox outbox) {
        if (currentRequest.isEmpty()
                || nowNanos - currentRequest.get().lastSent < BudgetTiming.REQUEST_RETRY_INTERVAL) {
            return;
        }
        OpenRequest request = currentRequest.get();
        if (nowNanos - request.firstSent >= BudgetTiming.GRANT_LIFETIME / 4) {
            // The lifetime of a grant starts when its request is first sent, so an old request would yield a
            // short-lived grant.
            currentRequest = Optional.empty();
            requestIfNeeded(nowNanos, outbox);
            return;
        }
        request.lastSent = nowNanos;
        sendMessage(Optional.of(request.message), false, nowNanos, outbox);
    }

    private void sendMessage(
            Optional<BudgetMessage.GrantRequest> request, boolean returnAll, long nowNanos, Outbox outbox) {
        long epoch = owner.map(OwnerReference::epoch).orElse(0L);
        List<BudgetMessage.Report> reports = pool.takeReports(epoch, returnAll, nowNanos);
        List<BudgetMessage.Refund> refunds = pool.takeRefunds(epoch);
        if (owner.isEmpty() || (request.isEmpty() && reports.isEmpty() && refunds.isEmpty())) {
            return;
        }
        lastSequence++;
        outbox.send(
                owner.get().instance,
                new BudgetMessage.RequesterUpdate(
                        account, epoch, incarnation, lastSequence, request, new ArrayList<>(reports), refunds));
    }

    /** Owner of the bucket, as far as known at this instance. */
    record OwnerReference(InstanceId instance, long epoch) {}

    /** A charge that is queued until tokens are granted. */
    private static final class QueuedCharge {
        private final long tokens;
        private final long deadline;
        private final CompletableFuture<TokenAdmission.Charge> result;
        /** Number of the grant request whose response decides this charge; 0 if there is none. */
        private long requestNumber;

        QueuedCharge(long tokens, long deadline, CompletableFuture<TokenAdmission.Charge> result) {
            this.tokens = tokens;
            this.deadline = deadline;
            this.result = result;
        }
    }

    /** A grant request that may still get a response. */
    private static final class OpenRequest {
        private final long number;
        private final long epoch;
        private final long minimum;
        private final BudgetMessage.GrantRequest message;
        private final long firstSent;
        private long lastSent;

        OpenRequest(long number, long epoch, long minimum, BudgetMessage.GrantRequest message, long nowNanos) {
            this.number = number;
            this.epoch = epoch;
            this.minimum = minimum;
            this.message = message;
            this.firstSent = nowNanos;
            this.lastSent = nowNanos;
        }
    }
}
