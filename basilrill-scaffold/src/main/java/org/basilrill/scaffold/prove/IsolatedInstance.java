package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.Exchange.Call;
import org.basilrill.scaffold.prove.Relay.ForwardingAction;

/**
 * Isolates an instance from all others. It must refuse new requests within 4 s, and from then on must not accept a
 * key that was revoked during the isolation.
 */
final class IsolatedInstance implements Scenario {
    private static final int CANDIDATES = 16;
    private static final String ISOLATED = "entry-5";
    private static final long REFUSAL_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(10);

    /**
     * Accounts whose buckets the isolated instance owns. If another instance owned them, requests would soon be refused
     * for lack of tokens, even if the instance had not detected its isolation.
     */
    private record Accounts(String revoked, String kept) {}

    @Override
    public String name() {
        return "isolated-instance";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, new DeploymentOptions(5, true, 10_000))) {
            List<String> others = deployment.instances().subList(0, 4);
            deployment.startTarget("ledger-1", others, "--service", RuleText.SERVICE);
            // Without a target that announces itself to it, the isolated instance would refuse requests for lack of
            // targets.
            deployment.startTarget("ledger-2", List.of(ISOLATED), "--service", RuleText.SERVICE);
            RuleText rules = new RuleText();
            for (int candidate = 0; candidate < CANDIDATES; candidate++) {
                rules.account("account-" + candidate);
            }
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.lookup("account-0", "warm"), deployment.instances());
            Accounts accounts = chooseAccounts(deployment);
            LoadClient load = new LoadClient();
            long isolatedAtNanos;
            long reconnectedAtNanos;
            try (WorkerThreads callers = new WorkerThreads(3, random, (thread, own) -> count -> {
                load.send(deployment.address(ISOLATED), probe(thread, "probe-" + count, accounts));
                Waiting.sleepMillis(50);
            })) {
                Waiting.sleepMillis(1000);
                isolate(deployment);
                isolatedAtNanos = System.nanoTime();
                Waiting.sleepMillis(random.nextInt(1500));
                Exchange revoked = deployment
                        .operator()
                        .replace(
                                deployment.address("entry-4"),
                                1,
                                rules.revoke(accounts.revoked()).text("second"));
                ScenarioFailure.unless(revoked.ok(), "the key revoked", revoked.describe());
                Waiting.sleepMillis(8000 + random.nextInt(4000));
                deployment
                        .instances()
                        .forEach(name ->
                                deployment.relay(name).setPolicy((connection, direction) -> ForwardingAction.PASS));
                reconnectedAtNanos = System.nanoTime();
                deployment.awaitService(Calls.lookup(accounts.kept(), "again"), List.of(ISOLATED));
                Waiting.sleepMillis(2000);
                callers.stop();
            }
            return checkHistory(
                    load.history(), RuleText.keyOf(accounts.revoked()), isolatedAtNanos, reconnectedAtNanos);
        }
    }

    private static Call probe(int thread, String id, Accounts accounts) {
        return switch (thread) {
            case 0 -> Calls.lookup(accounts.revoked(), id);
            case 1 -> Calls.lookup(accounts.kept(), id);
            default -> Calls.openRoute();
        };
    }

    private static Accounts chooseAccounts(Deployment deployment) throws Exception {
        for (int candidate = 0; candidate < CANDIDATES; candidate++) {
            deployment.awaitService(Calls.lookup("account-" + candidate, "use"), List.of(ISOLATED));
        }
        List<String> owned = new ArrayList<>();
        String address = deployment.address(ISOLATED);
        for (JsonNode account : deployment.operator().accounts(address).json().path("accounts")) {
            String name = account.path("account").asText();
            if (name.startsWith("account-")
                    && account.path("bucket_owner").asText().equals(ISOLATED)) {
                owned.add(name);
            }
        }
        ScenarioFailure.unless(owned.size() >= 2, "two accounts whose buckets " + ISOLATED + " owns", owned);
        return new Accounts(owned.get(0), owned.get(1));
    }

    private static void isolate(Deployment deployment) {
        for (String name : deployment.instances()) {
            deployment
                    .relay(name)
                    .setPolicy((connection, direction) ->
                            name.equals(ISOLATED) || connection.sender().equals(ISOLATED)
                                    ? ForwardingAction.SWALLOW
                                    : ForwardingAction.PASS);
        }
    }

    private static String checkHistory(
            List<Exchange> history, String revokedKey, long isolatedAtNanos, long reconnectedAtNanos) {
        int refused = 0;
        long lastAccepted = 0;
        long servedAgain = Long.MAX_VALUE;
        for (Exchange exchange : history) {
            ScenarioFailure.unless(exchange.hasResponse(), "a response", exchange.describe());
            long sinceIsolation = exchange.sentNanos() - isolatedAtNanos;
            boolean revoked = exchange.call().key().equals(revokedKey);
            if (exchange.ok() && sinceIsolation > 0 && exchange.sentNanos() < reconnectedAtNanos) {
                lastAccepted = Math.max(lastAccepted, sinceIsolation);
            }
            if (sinceIsolation < REFUSAL_LIMIT_NANOS) {
                continue;
            }
            ScenarioFailure.unless(
                    !(revoked && exchange.ok()), "no request of the revoked key accepted", exchange.describe());
            if (exchange.ok()) {
                ScenarioFailure.unless(
                        exchange.endedNanos() >= reconnectedAtNanos,
                        "a refusal 4 s after the isolation",
                        exchange.describe() + ", sent " + TimeUnit.NANOSECONDS.toMillis(sinceIsolation)
                                + " ms after the isolation");
                servedAgain = Math.min(servedAgain, exchange.endedNanos() - reconnectedAtNanos);
            } else {
                ScenarioFailure.unless(
                        exchange.outcome().equals("not_run"), "refusals with the outcome not_run", exchange.describe());
                refused++;
            }
        }
        ScenarioFailure.unless(
                servedAgain < RECOVERY_LIMIT.toNanos(), "service within 10 s of the reconnection", servedAgain + " ns");
        return "last request accepted " + TimeUnit.NANOSECONDS.toMillis(lastAccepted) + " ms after the isolation, "
                + refused
                + " refused as not_run, none of the revoked key accepted, served again "
                + TimeUnit.NANOSECONDS.toMillis(servedAgain) + " ms after the reconnection";
    }
}
