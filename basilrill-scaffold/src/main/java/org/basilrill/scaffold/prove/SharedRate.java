package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.Exchange.Call;

/**
 * Sends requests of one account at several times its rate through all instances, and kills the owner of its bucket. The
 * account must never get more than its rate and burst, and an account at half its rate must not be refused.
 */
final class SharedRate implements Scenario {
    private static final int RATE = 400;
    /** More than is refilled while a lost owner is replaced; otherwise a new owner with a full bucket is undetected. */
    private static final int GREEDY_BURST = 6000;
    /** So small that the account at half its rate depends on a steady refill. */
    private static final int MODEST_BURST = 800;

    private static final int TOKENS = 40;
    private static final int CHARACTERS_PER_TOKEN = 4;
    /** Five callers that send 40 tokens every 100 ms request five times the rate. */
    private static final int GREEDY_CALLERS = 5;

    private static final int GREEDY_PAUSE_MILLIS = 100;
    /** One caller that sends 40 tokens every 200 ms requests half the rate. */
    private static final int MODEST_PAUSE_MILLIS = 200;

    private static final int CANDIDATES = 4;
    private static final int MAX_ATTEMPTS = 5;

    @Override
    public String name() {
        return "shared-rate";
    }

    /** Accounts whose buckets have different owners, so that the loss of one owner affects only one account. */
    private record ChosenAccounts(String greedy, String modest, String greedyOwner) {}

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, DeploymentOptions.of(5))) {
            List<String> instances = deployment.instances();
            deployment.startTarget(
                    "ledger-1", instances, "--service", RuleText.SERVICE, "--slots", "64", "--token-millis", "1");
            RuleText rules = new RuleText().account("warm");
            for (int candidate = 0; candidate < CANDIDATES; candidate++) {
                rules.account("greedy-" + candidate, RATE, GREEDY_BURST)
                        .account("modest-" + candidate, RATE, MODEST_BURST);
            }
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.lookup("warm", "warm"), instances);
            ChosenAccounts chosen = chooseAccounts(deployment);
            LoadClient greedy = new LoadClient();
            LoadClient modest = new LoadClient();
            long killed;
            try (WorkerThreads greedyCallers = new WorkerThreads(GREEDY_CALLERS, random, (thread, own) -> count -> {
                        greedy.send(
                                deployment.address(instances.get(thread)),
                                paddedCall(chosen.greedy(), "greedy-" + thread + "-" + count));
                        Waiting.sleepMillis(GREEDY_PAUSE_MILLIS);
                    });
                    WorkerThreads modestCaller =
                            new WorkerThreads(1, random, (thread, own) -> modest(own, modest, chosen, deployment))) {
                Waiting.sleepMillis(6000 + random.nextInt(2000));
                deployment.kill(chosen.greedyOwner());
                killed = System.nanoTime();
                Waiting.sleepMillis(16_000);
                greedyCallers.stop();
                modestCaller.stop();
            }
            return checkHistory(greedy.history(), modest.history(), killed);
        }
    }

    private static ChosenAccounts chooseAccounts(Deployment deployment) throws Exception {
        String address = deployment.address("entry-1");
        for (int candidate = 0; candidate < CANDIDATES; candidate++) {
            deployment.awaitService(Calls.lookup("greedy-" + candidate, "use"), List.of("entry-1"));
            deployment.awaitService(Calls.lookup("modest-" + candidate, "use"), List.of("entry-1"));
        }
        Map<String, String> owners = new HashMap<>();
        for (JsonNode account : deployment.operator().accounts(address).json().path("accounts")) {
            owners.put(
                    account.path("account").asText(),
                    account.path("bucket_owner").asText());
        }
        for (int greedy = 0; greedy < CANDIDATES; greedy++) {
            String owner = owners.get("greedy-" + greedy);
            for (int modest = 0; modest < CANDIDATES; modest++) {
                if (!owner.isEmpty() && !owner.equals(owners.get("modest-" + modest))) {
                    return new ChosenAccounts("greedy-" + greedy, "modest-" + modest, owner);
                }
            }
        }
        throw new ScenarioFailure("two accounts whose buckets have different owners", owners.toString());
    }

    /** Sends requests at half the rate; a request without a response is resent to another instance. */
    private static WorkerThreads.Work modest(
            Random random, LoadClient load, ChosenAccounts chosen, Deployment deployment) {
        List<String> addresses = deployment.addresses();
        return count -> {
            Call call = paddedCall(chosen.modest(), "modest-" + count);
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                if (load.send(addresses.get(random.nextInt(addresses.size())), call)
                        .hasResponse()) {
                    break;
                }
            }
            Waiting.sleepMillis(MODEST_PAUSE_MILLIS);
        };
    }

    /** Returns a call of the plain service that is charged {@link #TOKENS}. */
    private static Call paddedCall(String account, String id) {
        Call call = Calls.lookup(account, id);
        int paddingLength = TOKENS * CHARACTERS_PER_TOKEN - call.body().length();
        return new Call(
                call.method(),
                call.path(),
                call.key(),
                call.body() + " ".repeat(paddingLength),
                Optional.empty(),
                Duration.ofSeconds(2));
    }

    private static String checkHistory(List<Exchange> greedy, List<Exchange> modest, long killedNanos) {
        for (Exchange exchange : modest) {
            ScenarioFailure.unless(
                    exchange.ok() || !exchange.hasResponse(),
                    "no refusal of the account at half its rate",
                    exchange.describe());
        }
        List<Exchange> accepted = greedy.stream()
                .filter(Exchange::ok)
                .sorted(Comparator.comparingLong(Exchange::sentNanos))
                .toList();
        double highest = highestUsageRatio(accepted);
        ScenarioFailure.unless(
                highest <= 1, "at most rate and burst in every window", String.format("%.2f times as much", highest));
        long before = accepted.stream()
                .filter(exchange -> exchange.endedNanos() < killedNanos)
                .count();
        long after = accepted.size() - before;
        ScenarioFailure.unless(
                before > 0 && after > 0,
                "requests accepted before and after the loss of the owner",
                before + " and " + after);
        long refused = greedy.stream()
                .filter(exchange -> exchange.errorCode().equals("RATE_EXCEEDED"))
                .count();
        return String.format(
                "%d of %d requests at five times the rate accepted (%d after the loss of the bucket owner, %d refused"
                        + " by rate), at most %.2f of rate and burst in any window; %d at half the rate, none refused",
                accepted.size(), greedy.size(), after, refused, highest, modest.size());
    }

    /**
     * Returns the highest ratio of charged to allowed tokens over all windows. Only requests that start and end within
     * a window count, because it is unknown when between its start and its end a request was charged.
     */
    private static double highestUsageRatio(List<Exchange> accepted) {
        List<Long> ends = new ArrayList<>();
        accepted.forEach(exchange -> ends.add(exchange.endedNanos()));
        double highest = 0;
        for (Exchange first : accepted) {
            for (long end : ends) {
                if (end <= first.sentNanos()) {
                    continue;
                }
                long within = accepted.stream()
                        .filter(other -> other.sentNanos() >= first.sentNanos() && other.endedNanos() <= end)
                        .count();
                double seconds = (end - first.sentNanos()) / (double) TimeUnit.SECONDS.toNanos(1);
                highest = Math.max(highest, within * TOKENS / (GREEDY_BURST + RATE * seconds));
            }
        }
        return highest;
    }
}
