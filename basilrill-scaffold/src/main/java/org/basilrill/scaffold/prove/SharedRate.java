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
import org.basilrill.scaffold.prove.Deployment.Shape;
import org.basilrill.scaffold.prove.Exchange.Call;

/**
 * An account sends several times its rate through all instances while the owner of its bucket is killed: it never gets
 * more than rate and burst, and an account at half its rate is not refused.
 */
final class SharedRate implements Scenario {
    private static final int RATE = 400;
    /** More than the rate refills while a lost owner is replaced; a new owner that starts full is noticed only so. */
    private static final int GREEDY_BURST = 6000;
    /** Little enough that the account at half its rate depends on a steady refill. */
    private static final int MODEST_BURST = 800;

    private static final int TOKENS = 40;
    private static final int CHARACTERS_PER_TOKEN = 4;
    /** Five callers that send 40 tokens every 100 ms ask for five times the rate. */
    private static final int GREEDY_CALLERS = 5;

    private static final int GREEDY_PAUSE_MILLIS = 100;
    /** One caller that sends 40 tokens every 200 ms asks for half the rate. */
    private static final int MODEST_PAUSE_MILLIS = 200;

    private static final int CANDIDATES = 4;
    private static final int MOST_SENDS = 5;

    @Override
    public String name() {
        return "shared-rate";
    }

    /** Accounts whose buckets have different owners, so that the loss of one owner leaves the other account alone. */
    private record Chosen(String greedy, String modest, String greedyOwner) {}

    @Override
    public String run(Laboratory laboratory, Random random) throws Exception {
        try (Deployment deployment = new Deployment(laboratory, Shape.of(5))) {
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
            Chosen chosen = choose(deployment);
            LoadClient greedy = new LoadClient();
            LoadClient modest = new LoadClient();
            long killed;
            try (Crowd greedyCallers = new Crowd(GREEDY_CALLERS, random, (thread, own) -> count -> {
                        greedy.send(
                                deployment.address(instances.get(thread)),
                                sized(chosen.greedy(), "greedy-" + thread + "-" + count));
                        Waiting.millis(GREEDY_PAUSE_MILLIS);
                    });
                    Crowd modestCaller =
                            new Crowd(1, random, (thread, own) -> modest(own, modest, chosen, deployment))) {
                Waiting.millis(6000 + random.nextInt(2000));
                deployment.kill(chosen.greedyOwner());
                killed = System.nanoTime();
                Waiting.millis(16_000);
                greedyCallers.stop();
                modestCaller.stop();
            }
            return judge(greedy.history(), modest.history(), killed);
        }
    }

    private static Chosen choose(Deployment deployment) throws Exception {
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
                    return new Chosen("greedy-" + greedy, "modest-" + modest, owner);
                }
            }
        }
        throw new ProofFailure("two accounts whose buckets have different owners", owners.toString());
    }

    /** Sends at half the rate; a request whose instance was killed goes to another. */
    private static Crowd.Work modest(Random random, LoadClient load, Chosen chosen, Deployment deployment) {
        List<String> addresses = deployment.addresses();
        return count -> {
            Call call = sized(chosen.modest(), "modest-" + count);
            for (int sends = 0; sends < MOST_SENDS; sends++) {
                if (load.send(addresses.get(random.nextInt(addresses.size())), call)
                        .answered()) {
                    break;
                }
            }
            Waiting.millis(MODEST_PAUSE_MILLIS);
        };
    }

    /** Returns a call of the plain service that is charged {@link #TOKENS}. */
    private static Call sized(String account, String id) {
        Call call = Calls.lookup(account, id);
        int missing = TOKENS * CHARACTERS_PER_TOKEN - call.body().length();
        return new Call(
                call.method(),
                call.path(),
                call.key(),
                call.body() + " ".repeat(missing),
                Optional.empty(),
                Duration.ofSeconds(2));
    }

    private static String judge(List<Exchange> greedy, List<Exchange> modest, long killedNanos) {
        for (Exchange exchange : modest) {
            ProofFailure.unless(
                    exchange.ok() || !exchange.answered(),
                    "no refusal of the account at half its rate",
                    exchange.describe());
        }
        List<Exchange> accepted = greedy.stream()
                .filter(Exchange::ok)
                .sorted(Comparator.comparingLong(Exchange::sentNanos))
                .toList();
        double highest = highestShare(accepted);
        ProofFailure.unless(
                highest <= 1, "at most rate and burst in every window", String.format("%.2f times as much", highest));
        long before = accepted.stream()
                .filter(exchange -> exchange.endedNanos() < killedNanos)
                .count();
        long after = accepted.size() - before;
        ProofFailure.unless(
                before > 0 && after > 0,
                "requests accepted before and after the loss of the owner",
                before + " and " + after);
        long refused = greedy.stream()
                .filter(exchange -> exchange.code().equals("RATE_EXCEEDED"))
                .count();
        return String.format(
                "%d of %d requests at five times the rate accepted (%d after the loss of the bucket owner, %d refused"
                        + " by rate), at most %.2f of rate and burst in any window; %d at half the rate, none refused",
                accepted.size(), greedy.size(), after, refused, highest, modest.size());
    }

    /**
     * Returns the highest share of what rate and burst allow, over all windows. Only requests that lie wholly within a
     * window count, as it is not known when in between a request was charged.
     */
    private static double highestShare(List<Exchange> accepted) {
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
