package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.Relay.Direction;
import org.basilrill.scaffold.prove.Relay.ForwardingAction;

/**
 * Makes open connections to targets and between instances stop delivering bytes, while new connections work. Callers
 * must receive responses in time.
 */
final class SilentConnections implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    private static final int CALLERS = 10;
    private static final int PROGRESS_MILLIS = 2000;
    private static final int SILENCE_PATTERNS = 3;
    private static final Duration NEW_CONNECTION_DELAY = Duration.ofMillis(1);
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    /**
     * The deadline limits the wait for the first byte, and the progress limit ends a stalled stream after it. The rest
     * is a margin for the duration of the stream.
     */
    private static final Duration MAX_DURATION = DEADLINE.plusMillis(1000);

    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(6);

    @Override
    public String name() {
        return "silent-connections";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, new DeploymentOptions(5, true, PROGRESS_MILLIS))) {
            List<String> instances = deployment.instances();
            List<String> targets = List.of("engine-1", "engine-2");
            for (String target : targets) {
                deployment.startRelayedTarget(target, instances, "--models", RuleText.MODEL, "--slots", "64");
            }
            RuleText rules = new RuleText().account(ACCOUNT);
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.stream(ACCOUNT, "warm", 1), instances);
            LoadClient load = new LoadClient();
            long silentSinceNanos;
            try (WorkerThreads callers =
                    new WorkerThreads(CALLERS, random, (thread, own) -> caller(thread, own, load, deployment))) {
                Waiting.sleepMillis(2000 + random.nextInt(1000));
                List<String> relayed = new ArrayList<>(instances);
                relayed.addAll(targets);
                silentSinceNanos = System.nanoTime();
                int shift = random.nextInt(SILENCE_PATTERNS);
                relayed.forEach(name -> silence(deployment.relay(name), shift));
                Exchange changed = deployment
                        .operator()
                        .replace(deployment.address(instances.get(random.nextInt(5))), 1, rules.text("second"));
                ScenarioFailure.unless(changed.ok(), "rules accepted over new connections", changed.describe());
                deployment.awaitRevision(2, instances, RECOVERY_LIMIT);
                Waiting.sleepMillis(8000);
                callers.stop();
            }
            return checkHistory(load.history(), silentSinceNanos);
        }
    }

    /** Discards outbound bytes, inbound bytes or both on connections open now; delays new connections slightly. */
    private static void silence(Relay relay, int shift) {
        long lastSilentNumber = relay.openedConnections();
        relay.setPolicy((connection, direction) -> {
            if (connection.number() > lastSilentNumber) {
                return ForwardingAction.delayed(NEW_CONNECTION_DELAY);
            }
            long pattern = (connection.number() + shift) % SILENCE_PATTERNS;
            boolean discarded = pattern == 0 || (pattern == 1) == (direction == Direction.OUTBOUND);
            return discarded ? ForwardingAction.SWALLOW : ForwardingAction.PASS;
        });
    }

    private static WorkerThreads.Work caller(int thread, Random random, LoadClient load, Deployment deployment) {
        List<String> addresses = deployment.addresses();
        return count -> {
            int tokens = random.nextBoolean() ? 10 : 100;
            load.send(
                    addresses.get(random.nextInt(addresses.size())),
                    Calls.stream(ACCOUNT, "caller-" + thread + "-" + count, tokens, DEADLINE));
        };
    }

    private static String checkHistory(List<Exchange> history, long silentSinceNanos) {
        Map<String, Integer> failures = new HashMap<>();
        long slowest = 0;
        for (Exchange exchange : history) {
            slowest = Math.max(slowest, exchange.duration().toMillis());
            ScenarioFailure.unless(
                    exchange.hasResponse() && exchange.duration().compareTo(MAX_DURATION) <= 0,
                    "a response within " + MAX_DURATION.toMillis() + " ms",
                    exchange.describe());
            if (!Calls.isComplete(exchange)) {
                boolean explicit =
                        !exchange.errorCode().isEmpty() || exchange.body().contains("event: error");
                ScenarioFailure.unless(explicit, "a complete response or an explicit error", exchange.describe());
                boolean late = exchange.sentNanos() - silentSinceNanos > RECOVERY_LIMIT.toNanos();
                ScenarioFailure.unless(
                        !late && exchange.endedNanos() > silentSinceNanos,
                        "complete responses before the silence and from " + RECOVERY_LIMIT.toSeconds()
                                + " s after it began",
                        exchange.describe());
                failures.merge(exchange.errorCode().isEmpty() ? "ended stream" : exchange.errorCode(), 1, Integer::sum);
            }
        }
        ScenarioFailure.unless(!failures.isEmpty() || slowest > PROGRESS_MILLIS, "requests hit by the silence", "none");
        return history.size() + " requests with responses, the slowest after " + slowest + " ms; failed explicitly: "
                + failures;
    }
}
