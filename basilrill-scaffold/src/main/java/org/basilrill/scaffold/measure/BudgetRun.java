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

/** Plays the requests of a measurement against one system and counts how it serves them. Not thread safe. */
final class BudgetRun {
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    private final VirtualTime time;
    private final IntFunction<TokenAdmission> systems;
    private final Map<AccountId, Tally> tallies = new TreeMap<>();

    /**
     * Creates a run.
     *
     * @param systems admission of each instance, by number
     */
    BudgetRun(VirtualTime time, List<BudgetTraffic.Load> loads, IntFunction<TokenAdmission> systems) {
        this.time = time;
        this.systems = systems;
        loads.forEach(load -> tallies.put(load.account().id(), new Tally(load, time)));
    }

    Map<AccountId, Tally> play(List<BudgetTraffic.Request> requests, IntFunction<Long> clocks) {
        long start = time.nanos();
        for (BudgetTraffic.Request request : requests) {
            time.runUntil(start + request.nanos());
            Tally tally = tallies.get(request.account());
            tally.offered++;
            tally.offeredTokens += request.tokens();
            long deadline = clocks.apply(request.instance()) + PATIENCE.toNanos();
            systems.apply(request.instance())
                    .charge(request.account(), request.tokens(), deadline)
                    .whenComplete((charge, failure) -> {
                        if (failure == null) {
                            tally.served(request, charge);
                        } else {
                            tally.refused(request);
                        }
                    });
        }
        time.runFor(Duration.ofSeconds(10));
        return tallies;
    }

    /**
     * Counts of one account. A refusal is wrongful if an exact bucket, charged with all that this system has accepted,
     * holds the tokens at the time of the refusal.
     */
    static final class Tally {
        private final VirtualTime time;
        private final StaticShares exact;
        private final AccountId account;
        private final SpendingOracle oracle = new SpendingOracle(Duration.ZERO);
        private long offered;
        private long offeredTokens;
        private long servedTokens;
        private long refused;
        private long wrongful;

        Tally(BudgetTraffic.Load load, VirtualTime time) {
            this.time = time;
            this.account = load.account().id();
            this.exact = new StaticShares(time, 1);
            exact.add(load.account());
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

        private void served(BudgetTraffic.Request request, TokenAdmission.Charge charge) {
            servedTokens += request.tokens();
            SpendingOracle.Spending spending = oracle.charged(time.nanos(), request.tokens());
            // A charge beyond the bound would show in the oracle; the exact bucket then has no tokens to take.
            TokenAdmission.Charge taken =
                    exact.admits(account, request.tokens()) ? exact.take(account, request.tokens()) : null;
            time.schedule(Duration.ofNanos(request.runningNanos()), () -> {
                charge.settle(request.usedTokens());
                spending.used(request.usedTokens());
                if (taken != null) {
                    taken.settle(request.usedTokens());
                }
            });
        }

        private void refused(BudgetTraffic.Request request) {
            refused++;
            if (exact.admits(account, request.tokens())) {
                wrongful++;
            }
        }
    }
}
