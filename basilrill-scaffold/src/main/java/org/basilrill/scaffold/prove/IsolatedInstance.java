package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.basilrill.scaffold.prove.Deployment.Shape;
import org.basilrill.scaffold.prove.Exchange.Call;
import org.basilrill.scaffold.prove.Relay.Treatment;

/** Cuts an instance off from all others: it refuses new work within 4 s, then never accepts a key revoked meanwhile. */
final class IsolatedInstance implements Scenario {
    private static final int CANDIDATES = 16;
    private static final String ISOLATED = "entry-5";
    private static final long REFUSES_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final Duration RECOVERY = Duration.ofSeconds(10);

    /**
     * Accounts whose buckets the isolated instance owns. With another owner, it would soon refuse for want of tokens,
     * whatever it knows of its isolation.
     */
    private record Accounts(String revoked, String kept) {}

    @Override
    public String name() {
        return "isolated-instance";
    }

    @Override
    public String run(Laboratory laboratory, Random random) throws Exception {
        try (Deployment deployment = new Deployment(laboratory, new Shape(5, true, 10_000))) {
            List<String> others = deployment.instances().subList(0, 4);
            deployment.startTarget("ledger-1", others, "--service", RuleText.SERVICE);
            // Without a target of its own, the isolated instance would refuse for want of targets.
            deployment.startTarget("ledger-2", List.of(ISOLATED), "--service", RuleText.SERVICE);
            RuleText rules = new RuleText();
            for (int candidate = 0; candidate < CANDIDATES; candidate++) {
                rules.account("account-" + candidate);
            }
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.lookup("account-0", "warm"), deployment.instances());
            Accounts accounts = choose(deployment);
            LoadClient load = new LoadClient();
            long cut;
            long reconnected;
            try (Crowd callers = new Crowd(3, random, (thread, own) -> count -> {
                load.send(deployment.address(ISOLATED), probe(thread, "probe-" + count, accounts));
                Waiting.millis(50);
            })) {
                Waiting.millis(1000);
                isolate(deployment);
                cut = System.nanoTime();
                Waiting.millis(random.nextInt(1500));
                Exchange revoked = deployment
                        .operator()
                        .replace(
                                deployment.address("entry-4"),
                                1,
                                rules.revoke(accounts.revoked()).text("second"));
                ProofFailure.unless(revoked.ok(), "the key revoked", revoked.describe());
                Waiting.millis(8000 + random.nextInt(4000));
                deployment
                        .instances()
                        .forEach(name -> deployment.relay(name).treat((connection, direction) -> Treatment.PASS));
                reconnected = System.nanoTime();
                deployment.awaitService(Calls.lookup(accounts.kept(), "again"), List.of(ISOLATED));
                Waiting.millis(2000);
                callers.stop();
            }
            return judge(load.history(), RuleText.keyOf(accounts.revoked()), cut, reconnected);
        }
    }

    private static Call probe(int thread, String id, Accounts accounts) {
        return switch (thread) {
            case 0 -> Calls.lookup(accounts.revoked(), id);
            case 1 -> Calls.lookup(accounts.kept(), id);
            default -> Calls.open();
        };
    }

    private static Accounts choose(Deployment deployment) throws Exception {
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
        ProofFailure.unless(owned.size() >= 2, "two accounts whose buckets " + ISOLATED + " owns", owned);
        return new Accounts(owned.get(0), owned.get(1));
    }

    private static void isolate(Deployment deployment) {
        for (String name : deployment.instances()) {
            deployment
                    .relay(name)
                    .treat((connection, direction) ->
                            name.equals(ISOLATED) || connection.sender().equals(ISOLATED)
                                    ? Treatment.SWALLOW
                                    : Treatment.PASS);
        }
    }

    private static String judge(List<Exchange> history, String revokedKey, long cut, long reconnected) {
        int refused = 0;
        long lastAccepted = 0;
        long servedAgain = Long.MAX_VALUE;
        for (Exchange exchange : history) {
            ProofFailure.unless(exchange.answered(), "an answer", exchange.describe());
            long sinceCut = exchange.sentNanos() - cut;
            boolean revoked = exchange.call().key().equals(revokedKey);
            if (exchange.ok() && sinceCut > 0 && exchange.sentNanos() < reconnected) {
                lastAccepted = Math.max(lastAccepted, sinceCut);
            }
            if (sinceCut < REFUSES_NANOS) {
                continue;
            }
            ProofFailure.unless(
                    !(revoked && exchange.ok()), "no request of the revoked key accepted", exchange.describe());
            if (exchange.ok()) {
                ProofFailure.unless(
                        exchange.endedNanos() >= reconnected,
                        "a refusal 4 s after the cut",
                        exchange.describe() + ", sent " + TimeUnit.NANOSECONDS.toMillis(sinceCut)
                                + " ms after the cut");
                servedAgain = Math.min(servedAgain, exchange.endedNanos() - reconnected);
            } else {
                ProofFailure.unless(
                        exchange.outcome().equals("not_run"), "refusals that say not_run", exchange.describe());
                refused++;
            }
        }
        ProofFailure.unless(
                servedAgain < RECOVERY.toNanos(), "service within 10 s of the reconnection", servedAgain + " ns");
        return "last request accepted " + TimeUnit.NANOSECONDS.toMillis(lastAccepted) + " ms after the cut, " + refused
                + " refused as not_run, none of the revoked key accepted, served again "
                + TimeUnit.NANOSECONDS.toMillis(servedAgain) + " ms after the reconnection";
    }
}
