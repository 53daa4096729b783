package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.state.configuration.Rules;

/**
 * Guards the limit of each account's rate and burst over all instances, in every window, under random faults and rule
 * changes.
 */
class BudgetFuzzTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final Duration STEP = Duration.ofMillis(20);
    private static final int STEPS = 1000;
    /** Pull interval with lost responses, the lease of an isolated owner (3 s) and the lifetime of a grant (2 s). */
    private static final Duration PROPAGATION = Duration.ofMillis(5500);

    private static final List<AccountId> ACCOUNTS = List.of(new AccountId("large"), new AccountId("small"));

    @BeforeContainer
    static void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    @Property(tries = 120, seed = "4711", shrinking = ShrinkingMode.OFF)
    void noAccountExceedsItsRateAndBurstUnderFaults(@ForAll long seed) {
        Run run = new Run(seed, Disturbance.FAULTS);
        run.runSteps();
        run.check();
    }

    @Property(tries = 20, seed = "4712", shrinking = ShrinkingMode.OFF)
    void everyAccountIsChargedAgainOnceFaultsEnd(@ForAll long seed) {
        Run run = new Run(seed, Disturbance.FAULTS_AND_RULES);
        run.runSteps();
        run.endFaults();
        run.check();
        for (AccountId account : ACCOUNTS) {
            for (InstanceId instance : run.deployment.instances()) {
                String at = account + " at " + instance + " with seed " + seed;
                assertThat(at, run.isServed(instance, account), is(true));
            }
        }
    }

    @Property(tries = 40, seed = "4713", shrinking = ShrinkingMode.OFF)
    void noAccountExceedsItsRateAndBurstDuringRestarts(@ForAll long seed) {
        Run run = new Run(seed, Disturbance.RESTARTS);
        run.runSteps();
        run.check();
        assertThat("seed " + seed, run.oracles.get(ACCOUNTS.get(0)).total(), greaterThan(0L));
    }

    @Property(tries = 40, seed = "4720", shrinking = ShrinkingMode.OFF)
    void noAccountExceedsItsRateAndBurstDuringRuleChanges(@ForAll long seed) {
        Run run = new Run(seed, Disturbance.RULES);
        run.runSteps();
        run.check();
    }

    /** Faults and changes besides requests. The numbers are the range of cases in {@code injectRandomFault}. */
    private enum Disturbance {
        RULES(0, 1),
        RESTARTS(1, 3),
        FAULTS(1, 9),
        FAULTS_AND_RULES(0, 9);

        private final int first;
        private final int end;

        Disturbance(int first, int end) {
            this.first = first;
            this.end = end;
        }
    }

    /** One random run of a simulated deployment. */
    private static final class Run {
        private final long seed;
        private final Disturbance disturbance;
        private final Random random;
        private final VirtualDeployment deployment;
        private final Map<AccountId, SpendingOracle> oracles = new TreeMap<>();
        private final Map<AccountId, Rules.Account> rules = new TreeMap<>();

        Run(long seed, Disturbance disturbance) {
            this.seed = seed;
            this.disturbance = disturbance;
            this.random = new Random(seed);
            this.deployment = new VirtualDeployment(2 + random.nextInt(4), random.nextLong());
            ACCOUNTS.forEach(account -> oracles.put(account, new SpendingOracle(PROPAGATION)));
            ACCOUNTS.forEach(this::replaceRule);
            install(List.copyOf(rules.values()));
            deployment.start();
        }

        /** Callers pause until buckets are full, then request more than the burst, so that every excess is detected. */
        void runSteps() {
            int burstStepsLeft = 0;
            for (int step = 0; step < STEPS; step++) {
                if (random.nextInt(50) == 0) {
                    injectRandomFault();
                }
                if (random.nextInt(60) == 0) {
                    burstStepsLeft = 5 + random.nextInt(60);
                }
                burstStepsLeft--;
                for (int request = random.nextInt(burstStepsLeft > 0 ? 10 : 2); request > 0; request--) {
                    charge(instance(), ACCOUNTS.get(random.nextInt(ACCOUNTS.size())));
                }
                deployment.time().runFor(STEP);
            }
        }

        void check() {
            oracles.forEach((account, oracle) ->
                    assertThat(account + " with seed " + seed, oracle.violation(), is(Optional.empty())));
        }

        void endFaults() {
            deployment.network().inject(VirtualNetwork.Faults.NONE);
            deployment.instances().forEach(instance -> {
                deployment.network().cutFromPeers(instance, false);
                deployment.network().cutFromControl(instance, false);
                // A draining instance claims no bucket, so all instances are restarted.
                deployment.crash(instance);
                deployment.restart(instance);
            });
            ACCOUNTS.forEach(this::replaceRule);
            install(List.copyOf(rules.values()));
            deployment.time().runFor(Duration.ofSeconds(20));
        }

        boolean isServed(InstanceId instance, AccountId account) {
            boolean[] served = new boolean[1];
            long deadline = deployment.nanos(instance) + Duration.ofSeconds(5).toNanos();
            deployment.budgets(instance).charge(account, 1, deadline).thenAccept(charge -> served[0] = true);
            deployment.time().runFor(Duration.ofSeconds(6));
            return served[0];
        }

        private void charge(InstanceId instance, AccountId account) {
            if (!deployment.isRunning(instance)) {
                return;
            }
            long most = Math.max(2, rules.get(account).burstTokens() / 3);
            long tokens = 1 + random.nextLong(random.nextInt(5) == 0 ? most : Math.max(2, most / 20));
            long deadline = deployment.nanos(instance)
                    + Duration.ofMillis(random.nextInt(3000)).toNanos();
            deployment.budgets(instance).charge(account, tokens, deadline).thenAccept(charge -> {
                long now = deployment.time().nanos();
                SpendingOracle.Spending spending = oracles.get(account).charged(now, charge.tokens());
                if (random.nextInt(2) > 0) {
                    long used = random.nextLong(charge.tokens() + 1);
                    Duration running = Duration.ofMillis(random.nextInt(random.nextBoolean() ? 100 : 8000));
                    deployment.time().schedule(running, () -> {
                        charge.settle(used);
                        spending.used(used);
                    });
                }
            });
        }

        private void injectRandomFault() {
            InstanceId instance = instance();
            switch (disturbance.first + random.nextInt(disturbance.end - disturbance.first)) {
                case 0 -> {
                    replaceRule(ACCOUNTS.get(random.nextInt(ACCOUNTS.size())));
                    List<Rules.Account> installedRules = new ArrayList<>(rules.values());
                    if (random.nextInt(4) == 0) {
                        installedRules.remove(random.nextInt(installedRules.size()));
                    }
                    install(installedRules);
                }
                case 1 -> {
                    if (deployment.isRunning(instance)) {
                        deployment.budgets(instance).handOver();
                    }
                }
                case 2 -> {
                    deployment.crash(instance);
                    deployment.restart(instance);
                }
                case 3 -> deployment.crash(instance);
                case 4 -> deployment.instances().forEach(deployment::restart);
                case 5 -> deployment.network().cutFromPeers(instance, random.nextBoolean());
                case 6 -> deployment.network().cutFromControl(instance, random.nextBoolean());
                case 7 ->
                    deployment.instances().forEach(all -> {
                        deployment.network().cutFromPeers(all, false);
                        deployment.network().cutFromControl(all, false);
                    });
                default ->
                    deployment
                            .network()
                            .inject(new VirtualNetwork.Faults(
                                    random.nextDouble() * 0.3, random.nextDouble() * 0.5, random.nextDouble() * 0.3));
            }
        }

        private void replaceRule(AccountId account) {
            long rate = 1 + random.nextLong(2000);
            long burst = Math.max(1, (long) (rate * (0.1 + 5 * random.nextDouble())));
            rules.put(account, new Rules.Account(account, rate, burst, 1));
        }

        private void install(List<Rules.Account> installedRules) {
            deployment.log().replaceAccounts(installedRules);
            long now = deployment.time().nanos();
            rules.forEach((account, rule) -> {
                if (installedRules.contains(rule)) {
                    oracles.get(account).limit(now, rule.tokensPerSecond(), rule.burstTokens());
                } else {
                    oracles.get(account).limit(now, 0, 0);
                }
            });
        }

        private InstanceId instance() {
            List<InstanceId> all = deployment.instances();
            return all.get(random.nextInt(all.size()));
        }
    }
}
