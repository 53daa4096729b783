package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.basilrill.scaffold.prove.Deployment.Shape;
import org.basilrill.scaffold.prove.Relay.Direction;
import org.basilrill.scaffold.prove.Relay.Treatment;

/** Open connections to targets and between instances go silent while new ones work: callers are answered in time. */
final class SilentConnections implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    private static final int CALLERS = 10;
    private static final int PROGRESS_MILLIS = 2000;
    private static final int SILENT_WAYS = 3;
    private static final Duration NEW_CONNECTION_DELAY = Duration.ofMillis(1);
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    /** The deadline ends the wait for a first byte, the progress limit a stream after it; the rest is for the run. */
    private static final Duration LONGEST = DEADLINE.plusMillis(1000);

    private static final Duration RECOVERY = Duration.ofSeconds(6);

    @Override
    public String name() {
        return "silent-connections";
    }

    @Override
    public String run(Laboratory laboratory, Random random) throws Exception {
        try (Deployment deployment = new Deployment(laboratory, new Shape(5, true, PROGRESS_MILLIS))) {
            List<String> instances = deployment.instances();
            List<String> targets = List.of("engine-1", "engine-2");
            for (String target : targets) {
                deployment.startRelayedTarget(target, instances, "--models", RuleText.MODEL, "--slots", "64");
            }
            RuleText rules = new RuleText().account(ACCOUNT);
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.stream(ACCOUNT, "warm", 1), instances);
            LoadClient load = new LoadClient();
            long silent;
            try (Crowd callers = new Crowd(CALLERS, random, (thread, own) -> caller(thread, own, load, deployment))) {
                Waiting.millis(2000 + random.nextInt(1000));
                List<String> relayed = new ArrayList<>(instances);
                relayed.addAll(targets);
                silent = System.nanoTime();
                int shift = random.nextInt(SILENT_WAYS);
                relayed.forEach(name -> silence(deployment.relay(name), shift));
                Exchange changed = deployment
                        .operator()
                        .replace(deployment.address(instances.get(random.nextInt(5))), 1, rules.text("second"));
                ProofFailure.unless(changed.ok(), "rules accepted over new connections", changed.describe());
                deployment.awaitRevision(2, instances, RECOVERY);
                Waiting.millis(8000);
                callers.stop();
            }
            return judge(load.history(), silent);
        }
    }

    /** Connections that are open now lose what is sent out, what comes back, or both; new ones are a little slow. */
    private static void silence(Relay relay, int shift) {
        long last = relay.openedConnections();
        relay.treat((connection, direction) -> {
            if (connection.number() > last) {
                return Treatment.delayed(NEW_CONNECTION_DELAY);
            }
            long way = (connection.number() + shift) % SILENT_WAYS;
            boolean silent = way == 0 || (way == 1) == (direction == Direction.OUT);
            return silent ? Treatment.SWALLOW : Treatment.PASS;
        });
    }

    private static Crowd.Work caller(int thread, Random random, LoadClient load, Deployment deployment) {
        List<String> addresses = deployment.addresses();
        return count -> {
            int tokens = random.nextBoolean() ? 10 : 100;
            load.send(
                    addresses.get(random.nextInt(addresses.size())),
                    Calls.stream(ACCOUNT, "caller-" + thread + "-" + count, tokens, DEADLINE));
        };
    }

    private static String judge(List<Exchange> history, long silentNanos) {
        Map<String, Integer> failures = new HashMap<>();
        long slowest = 0;
        for (Exchange exchange : history) {
            slowest = Math.max(slowest, exchange.duration().toMillis());
            ProofFailure.unless(
                    exchange.answered() && exchange.duration().compareTo(LONGEST) <= 0,
                    "an answer within " + LONGEST.toMillis() + " ms",
                    exchange.describe());
            if (!Calls.isWhole(exchange)) {
                boolean explicit = !exchange.code().isEmpty() || exchange.body().contains("event: error");
                ProofFailure.unless(explicit, "a whole answer or an explicit error", exchange.describe());
                boolean late = exchange.sentNanos() - silentNanos > RECOVERY.toNanos();
                ProofFailure.unless(
                        !late && exchange.endedNanos() > silentNanos,
                        "whole answers before the silence and from " + RECOVERY.toSeconds() + " s after it began",
                        exchange.describe());
                failures.merge(exchange.code().isEmpty() ? "ended stream" : exchange.code(), 1, Integer::sum);
            }
        }
        ProofFailure.unless(!failures.isEmpty() || slowest > PROGRESS_MILLIS, "requests hit by the silence", "none");
        return history.size() + " requests answered, the slowest after " + slowest + " ms; failed explicitly: "
                + failures;
    }
}
