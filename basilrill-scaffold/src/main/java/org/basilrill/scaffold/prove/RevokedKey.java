package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;

/** Revokes a key during running streams. Its streams must end within 6 s, those of another key must continue. */
final class RevokedKey implements Scenario {
    private static final String REVOKED = "parish-desk";
    private static final String KEPT = "buyers";
    private static final int STREAMS = 10;
    private static final int TOKENS = 300;
    private static final Duration STREAM_DEADLINE = Duration.ofSeconds(30);
    private static final Duration STREAM_END_LIMIT = Duration.ofSeconds(6);

    @Override
    public String name() {
        return "revoked-key";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, DeploymentOptions.of(5))) {
            List<String> instances = deployment.instances();
            deployment.startTarget(
                    "engine-1", instances, "--models", RuleText.MODEL, "--token-millis", "40", "--slots", "64");
            RuleText rules = new RuleText().account(REVOKED).account(KEPT);
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.stream(KEPT, "warm", 1), instances);
            LoadClient load = new LoadClient();
            long accepted;
            // Each thread sends one stream; every second stream uses the account whose key stays valid.
            try (WorkerThreads callers = new WorkerThreads(STREAMS, random, (thread, own) -> count -> {
                if (count == 0) {
                    String account = thread % 2 == 0 ? REVOKED : KEPT;
                    String address = deployment.address(instances.get(thread / 2));
                    load.send(address, Calls.stream(account, "stream-" + thread, TOKENS, STREAM_DEADLINE));
                }
                Waiting.sleepMillis(50);
            })) {
                Waiting.sleepMillis(2000 + random.nextInt(1000));
                ScenarioFailure.unless(
                        load.history().isEmpty(),
                        "running streams",
                        load.history().size() + " ended ones");
                String address = deployment.address(instances.get(random.nextInt(instances.size())));
                Exchange response = deployment
                        .operator()
                        .replace(address, 1, rules.revoke(REVOKED).text("second"));
                ScenarioFailure.unless(response.ok(), "the key revoked", response.describe());
                accepted = response.endedNanos();
                callers.stop();
            }
            return checkHistory(load.history(), accepted);
        }
    }

    private static String checkHistory(List<Exchange> history, long acceptedNanos) {
        long slowest = 0;
        for (Exchange exchange : history) {
            if (exchange.call().key().equals(RuleText.keyOf(KEPT))) {
                ScenarioFailure.unless(
                        Calls.isComplete(exchange), "a complete stream of the other key", exchange.describe());
                continue;
            }
            Duration after = Duration.ofNanos(exchange.endedNanos() - acceptedNanos);
            ScenarioFailure.unless(
                    after.compareTo(STREAM_END_LIMIT) <= 0 && !exchange.body().contains("[DONE]"),
                    "an end of the stream within " + STREAM_END_LIMIT.toSeconds() + " s of the revocation",
                    after.toMillis() + " ms, " + exchange.describe());
            ScenarioFailure.unless(
                    exchange.hasResponse() && exchange.body().contains("event: error"),
                    "an error event at the end of the stream",
                    exchange.describe());
            slowest = Math.max(slowest, after.toMillis());
        }
        return history.size() / 2 + " streams of the revoked key ended within " + slowest + " ms, " + history.size() / 2
                + " of another key were complete";
    }
}
