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
 * Requester's side of one account: pays charges from unspent grants and asks the owner for more. Not thread safe;
 * guarded by the lock of the shard.
 */
final class GrantRequester {
    private final AccountId account;
    private final long incarnation;
    private final Function<List<LocalPool.Part>, TokenAdmission.Charge> charges;
    private final LocalPool pool = new LocalPool();
    private final List<Waiter> waiters = new LinkedList<>();
    private final Map<Long, OpenAsk> openAsks = new LinkedHashMap<>();
    private Optional<OpenAsk> current = Optional.empty();
    private Optional<OwnerReference> owner = Optional.empty();
    private Optional<Long> silentSince = Optional.empty();
    private long tokensPerSecond;
    private long lastAsk;
    private long lastSequence;

    GrantRequester(AccountId account, long incarnation, Function<List<LocalPool.Part>, TokenAdmission.Charge> charges) {
        this.account = account;
        this.incarnation = incarnation;
        this.charges = charges;
    }

    void configure(long newTokensPerSecond) {
        tokensPerSecond = newTokensPerSecond;
    }

    /** Uses another owner from now on; what waits is asked of it at once. */
    void ownerChanged(Optional<OwnerReference> newOwner, long nowNanos, Outbox outbox) {
        if (owner.equals(newOwner)) {
            return;
        }
        owner = newOwner;
        current = Optional.empty();
        waiters.forEach(waiter -> waiter.coveredBy = 0);
        askIfNeeded(nowNanos, outbox);
    }

    Optional<OwnerReference> owner() {
        return owner;
    }

    long unspent(long nowNanos) {
        return pool.remaining(nowNanos);
    }

    int waiting() {
        return waiters.size();
    }

    /** Pays at once from unspent grants, or waits for the owner. */
    void charge(
            long tokens, long deadline, CompletableFuture<TokenAdmission.Charge> result, long nowNanos, Outbox outbox) {
        boolean ownerSilent = silentSince
                .filter(since -> nowNanos - since > BudgetTiming.ASK_REPEAT)
                .isPresent();
        if (waiters.isEmpty() || ownerSilent) {
            Optional<List<LocalPool.Part>> parts = pool.trySpend(tokens, nowNanos);
            if (parts.isPresent()) {
                complete(result, parts.get(), outbox);
                return;
            }
        }
        waiters.add(new Waiter(tokens, deadline, result));
        tick(nowNanos, outbox);
    }

    void takeBack(List<LocalPool.Part> parts, long unused, long nowNanos, Outbox outbox) {
        pool.takeBack(parts, unused, nowNanos);
        serveWaiters(nowNanos, outbox);
    }

    /** Refuses all waiting requests, as the account is in no rule any more. */
    void refuseAll(Outbox outbox) {
        waiters.forEach(waiter -> refuse(waiter, AccountBudget.unknownAccount(account), outbox));
        waiters.clear();
    }

    /** Takes over the grant or the refusal. An answer to an ask that is not open has no effect. */
    void receive(BudgetMessage.Answer answer, long nowNanos, Outbox outbox) {
        OpenAsk ask = openAsks.get(answer.ask());
        boolean own = answer.incarnation() == incarnation && ask != null && ask.epoch == answer.epoch();
        if (!own || nowNanos - ask.firstSent >= BudgetTiming.GRANT_LIFETIME) {
            return;
        }
        silentSince = Optional.empty();
        if (answer.tokens() > 0) {
            openAsks.remove(answer.ask());
            pool.add(new LocalGrant(answer, ask.firstSent + BudgetTiming.GRANT_LIFETIME, nowNanos));
        }
        if (current.filter(ask::equals).isPresent()) {
            current = Optional.empty();
        }
        serveWaiters(nowNanos, outbox);
        refuseCovered(ask, answer, nowNanos, outbox);
        askIfNeeded(nowNanos, outbox);
    }

    /** Returns what no waiting request needs. */
    void receive(BudgetMessage.Recall recall, long nowNanos, Outbox outbox) {
        if (owner.filter(known -> known.epoch == recall.epoch()).isPresent()) {
            flush(Optional.empty(), true, nowNanos, outbox);
        }
    }

    /** Sends what is due, repeats unanswered asks and refuses requests whose deadline has passed. */
    void tick(long nowNanos, Outbox outbox) {
        openAsks.values().removeIf(ask -> nowNanos - ask.firstSent >= BudgetTiming.GRANT_LIFETIME);
        refuseOverdue(nowNanos, outbox);
        if (waiters.isEmpty()) {
            current = Optional.empty();
            silentSince = Optional.empty();
        }
        askIfNeeded(nowNanos, outbox);
        repeatAsk(nowNanos, outbox);
        if (pool.isFlushDue(nowNanos)) {
            flush(Optional.empty(), false, nowNanos, outbox);
        }
    }

    Optional<Long> nextDue(long nowNanos) {
        Optional<Long> due = pool.nextDue(nowNanos);
        for (Waiter waiter : waiters) {
            due = Times.earlier(due, waiter.deadline);
        }
        return Times.earlier(due, current.map(ask -> ask.lastSent + BudgetTiming.ASK_REPEAT));
    }

    private void serveWaiters(long nowNanos, Outbox outbox) {
        Iterator<Waiter> remaining = waiters.iterator();
        while (remaining.hasNext()) {
            Waiter waiter = remaining.next();
            Optional<List<LocalPool.Part>> parts = pool.trySpend(waiter.tokens, nowNanos);
            if (parts.isPresent()) {
                remaining.remove();
                complete(waiter.result, parts.get(), outbox);
            }
        }
    }

    private void complete(CompletableFuture<TokenAdmission.Charge> result, List<LocalPool.Part> parts, Outbox outbox) {
        outbox.afterwards(() -> {
            TokenAdmission.Charge charge = charges.apply(parts);
            if (!result.complete(charge)) {
                charge.settle(0);
            }
        });
    }

    private void refuseCovered(OpenAsk ask, BudgetMessage.Answer answer, long nowNanos, Outbox outbox) {
        long local = pool.remaining(nowNanos);
        // Local grants that ended since the ask may leave a request short although the bucket was not.
        boolean shortOfTokens = answer.tokens() < ask.message.need();
        Iterator<Waiter> remaining = waiters.iterator();
        while (remaining.hasNext()) {
            Waiter waiter = remaining.next();
            if (waiter.coveredBy == ask.number && shortOfTokens) {
                remaining.remove();
                long missing = answer.tokens() > 0 ? waiter.tokens - local : waiter.tokens - local - ask.minimum;
                long wait = answer.retryAfter().toNanos() + refillNanos(missing);
                String detail = String.format(
                        "client account %s has %d tokens fewer than the request needs", account, waiter.tokens - local);
                refuse(waiter, refusal(ErrorCode.RATE_EXCEEDED, detail, wait), outbox);
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

    private void refuseOverdue(long nowNanos, Outbox outbox) {
        Iterator<Waiter> remaining = waiters.iterator();
        while (remaining.hasNext()) {
            Waiter waiter = remaining.next();
            if (waiter.deadline - nowNanos <= 0) {
                remaining.remove();
                long silent = nowNanos - silentSince.orElse(nowNanos);
                long wait = Math.max(BudgetTiming.IDLE_RETURN, BudgetTiming.OWNER_RECOVERY - silent);
                String detail = String.format("owner of the bucket of client account %s does not answer", account);
                refuse(waiter, refusal(ErrorCode.BUDGET_UNAVAILABLE, detail, wait), outbox);
            }
        }
    }

    private static BasilrillException refusal(ErrorCode code, String detail, long waitNanos) {
        long wait = Math.max(BudgetTiming.MINIMUM_RETRY, waitNanos);
        return new BasilrillException(code, detail).withRetryAfter(Duration.ofNanos(wait));
    }

    private static void refuse(Waiter waiter, BasilrillException refusal, Outbox outbox) {
        outbox.afterwards(() -> waiter.result.completeExceptionally(refusal));
    }

    private void askIfNeeded(long nowNanos, Outbox outbox) {
        if (waiters.isEmpty() || current.isPresent()) {
            return;
        }
        if (silentSince.isEmpty()) {
            silentSince = Optional.of(nowNanos);
        }
        if (owner.isEmpty()) {
            return;
        }
        pool.keepForWaiting(nowNanos);
        long local = pool.remaining(nowNanos);
        long minimum = Math.max(1, waiters.get(0).tokens - local);
        long need = Math.max(
                minimum, waiters.stream().mapToLong(waiter -> waiter.tokens).sum() - local);
        lastAsk++;
        BudgetMessage.Ask ask = new BudgetMessage.Ask(lastAsk, minimum, need, pool.lookAhead(nowNanos));
        OpenAsk open = new OpenAsk(lastAsk, owner.get().epoch, minimum, ask, nowNanos);
        waiters.forEach(waiter -> waiter.coveredBy = open.number);
        openAsks.put(open.number, open);
        current = Optional.of(open);
        flush(Optional.of(ask), false, nowNanos, outbox);
    }

    private void repeatAsk(long nowNanos, Outbox outbox) {
        if (current.isEmpty() || nowNanos - current.get().lastSent < BudgetTiming.ASK_REPEAT) {
            return;
        }
        OpenAsk ask = current.get();
        if (nowNanos - ask.firstSent >= BudgetTiming.GRANT_LIFETIME / 4) {
            // A grant lives from the first sending of its ask, so an old ask would bring a short-lived grant.
            current = Optional.empty();
            askIfNeeded(nowNanos, outbox);
            return;
        }
        ask.lastSent = nowNanos;
        flush(Optional.of(ask.message), false, nowNanos, outbox);
    }

    private void flush(Optional<BudgetMessage.Ask> ask, boolean returnAll, long nowNanos, Outbox outbox) {
        long epoch = owner.map(OwnerReference::epoch).orElse(0L);
        List<BudgetMessage.Report> reports = pool.takeReports(epoch, returnAll, nowNanos);
        List<BudgetMessage.Refund> refunds = pool.takeRefunds(epoch);
        if (owner.isEmpty() || (ask.isEmpty() && reports.isEmpty() && refunds.isEmpty())) {
            return;
        }
        lastSequence++;
        outbox.send(
                owner.get().instance,
                new BudgetMessage.FromRequester(
                        account, epoch, incarnation, lastSequence, ask, new ArrayList<>(reports), refunds));
    }

    /** Owner of the bucket as far as known here. */
    record OwnerReference(InstanceId instance, long epoch) {}

    /** A request that waits for tokens. */
    private static final class Waiter {
        private final long tokens;
        private final long deadline;
        private final CompletableFuture<TokenAdmission.Charge> result;
        /** Number of the ask whose answer decides this request; 0 while there is none. */
        private long coveredBy;

        Waiter(long tokens, long deadline, CompletableFuture<TokenAdmission.Charge> result) {
            this.tokens = tokens;
            this.deadline = deadline;
            this.result = result;
        }
    }

    /** An ask that may still be answered. */
    private static final class OpenAsk {
        private final long number;
        private final long epoch;
        private final long minimum;
        private final BudgetMessage.Ask message;
        private final long firstSent;
        private long lastSent;

        OpenAsk(long number, long epoch, long minimum, BudgetMessage.Ask message, long nowNanos) {
            this.number = number;
            this.epoch = epoch;
            this.minimum = minimum;
            this.message = message;
            this.firstSent = nowNanos;
            this.lastSent = nowNanos;
        }
    }
}
