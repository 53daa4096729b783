package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.basilrill.api.AccountId;
import org.basilrill.coordination.admission.TokenAdmission;
import org.basilrill.scaffold.virtual.SpendingOracle;
import org.basilrill.scaffold.virtual.VirtualTime;

/** Replays the requests of a measurement against one system and counts the results. Not thread safe. */
final class BudgetRun {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final VirtualTime time;
    private final IntFunction<TokenAdmission> admissionByInstance;
    private final Map<AccountId, AccountCounts> countsByAccount = new TreeMap<>();

    /**
     * Creates a run with empty counts.
     *
     * @param admissionByInstance admission of each instance, by the number of the instance
     */
    BudgetRun(VirtualTime time, List<BudgetTraffic.Load> loads, IntFunction<TokenAdmission> admissionByInstance) {
        this.time = time;
        this.admissionByInstance = admissionByInstance;
        loads.forEach(load -> countsByAccount.put(load.account().id(), new AccountCounts(load, time)));
    }

    Map<AccountId, AccountCounts> replay(List<BudgetTraffic.Request> requests, IntFunction<Long> nanosByInstance) {
        long start = time.nanos();
        for (BudgetTraffic.Request request : requests) {
            time.runUntil(start + request.arrivalNanos());
            AccountCounts counts = countsByAccount.get(request.account());
            counts.offered++;
            counts.offeredTokens += request.tokens();
            long deadline = nanosByInstance.apply(request.instance()) + REQUEST_TIMEOUT.toNanos();
            admissionByInstance
                    .apply(request.instance())
                    .charge(request.account(), request.tokens(), deadline)
                    .whenComplete((charge, failure) -> {
                        if (failure == null) {
                            counts.recordServed(request, charge);
                        } else {
                            counts.recordRefused(request);
                        }
                    });
        }
        time.runFor(Duration.ofSeconds(10));
        return countsByAccount;
    }

    /**
     * Counts of one client account. A refusal is wrongful if an ideal central bucket, charged for all requests that the
     * measured system accepted, has enough tokens at the time of the refusal.
     */
    static final class AccountCounts {
        private final VirtualTime time;
        private final StaticShares idealBucket;
        private final AccountId account;
        private final SpendingOracle oracle = new SpendingOracle(Duration.ZERO);
        private long offered;
        private long offeredTokens;
        private long servedTokens;
        private long refused;
        private long wrongful;

        AccountCounts(BudgetTraffic.Load load, VirtualTime time) {
            this.time = time;
            this.account = load.account().id();
            this.idealBucket = new StaticShares(time, 1);
            idealBucket.addAccount(load.account());
            oracle.limit(
                    time.nanos(),
                    load.account().tokensPerSecond(),
                    load.account().burstTokens());
        }

        long offered() {
            return offered;
        }

        long refusedRequests() {
            return refused;
        }

        long wrongfullyRefused() {
            return wrongful;
        }

        long servedTokens() {
            return servedTokens;
        }

        boolean boundHolds() {
            return oracle.violation().isEmpty();
        }

        private void recordServed(BudgetTraffic.Request request, TokenAdmission.Charge charge) {
            servedTokens += request.tokens();
            SpendingOracle.Spending spending = oracle.charged(time.nanos(), request.tokens());
            // The oracle reports a charge beyond the bound. The ideal bucket then lacks tokens and isn't charged.
            TokenAdmission.Charge idealCharge = idealBucket.hasTokens(account, request.tokens())
                    ? idealBucket.chargeBucket(account, request.tokens())
                    : null;
            time.schedule(Duration.ofNanos(request.runningNanos()), () -> {
                charge.settle(request.usedTokens());
                spending.used(request.usedTokens());
                if (idealCharge != null) {
                    idealCharge.settle(request.usedTokens());
                }
            });
        }

        private void recordRefused(BudgetTraffic.Request request) {
            refused++;
            if (idealBucket.hasTokens(account, request.tokens())) {
                wrongful++;
            }
        }
    }
}
