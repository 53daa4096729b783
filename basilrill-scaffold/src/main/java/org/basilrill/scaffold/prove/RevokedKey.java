package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.basilrill.scaffold.prove.Deployment.Shape;

/** Revokes a key during running streams: its streams end within seconds, those of others run on. */
final class RevokedKey implements Scenario {
    private static final String REVOKED = "parish-desk";
    private static final String KEPT = "buyers";
    private static final int STREAMS = 10;
    private static final int TOKENS = 300;
    private static final Duration STREAM_DEADLINE = Duration.ofSeconds(30);
    private static final Duration LIMIT = Duration.ofSeconds(6);

    @Override
    public String name() {
        return "revoked-key";
    }

    @Override
    public String run(Laboratory laboratory, Random random) throws Exception {
        try (Deployment deployment = new Deployment(laboratory, Shape.of(5))) {
            List<String> instances = deployment.instances();
            deployment.startTarget(
                    "engine-1", instances, "--models", RuleText.MODEL, "--token-millis", "40", "--slots", "64");
            RuleText rules = new RuleText().account(REVOKED).account(KEPT);
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.stream(KEPT, "warm", 1), instances);
            LoadClient load = new LoadClient();
            long accepted;
            // Each thread sends one stream; every second one belongs to the account that keeps its key.
            try (Crowd callers = new Crowd(STREAMS, random, (thread, own) -> count -> {
                if (count == 0) {
                    String account = thread % 2 == 0 ? REVOKED : KEPT;
                    String address = deployment.address(instances.get(thread / 2));
                    load.send(address, Calls.stream(account, "stream-" + thread, TOKENS, STREAM_DEADLINE));
                }
                Waiting.millis(50);
            })) {
                Waiting.millis(2000 + random.nextInt(1000));
                ProofFailure.unless(
                        load.history().isEmpty(),
                        "running streams",
                        load.history().size() + " ended ones");
                String address = deployment.address(instances.get(random.nextInt(instances.size())));
                Exchange answer = deployment
                        .operator()
                        .replace(address, 1, rules.revoke(REVOKED).text("second"));
                ProofFailure.unless(answer.ok(), "the key revoked", answer.describe());
                accepted = answer.endedNanos();
                callers.stop();
            }
            return judge(load.history(), accepted);
        }
    }

    private static String judge(List<Exchange> history, long acceptedNanos) {
        long slowest = 0;
        for (Exchange exchange : history) {
            if (exchange.call().key().equals(RuleText.keyOf(KEPT))) {
                ProofFailure.unless(Calls.isWhole(exchange), "a whole stream of the other key", exchange.describe());
                continue;
            }
            Duration after = Duration.ofNanos(exchange.endedNanos() - acceptedNanos);
            ProofFailure.unless(
                    after.compareTo(LIMIT) <= 0 && !exchange.body().contains("[DONE]"),
                    "an end of the stream within " + LIMIT.toSeconds() + " s of the revocation",
                    after.toMillis() + " ms, " + exchange.describe());
            ProofFailure.unless(
                    exchange.answered() && exchange.body().contains("event: error"),
                    "an error event at the end of the stream",
                    exchange.describe());
            slowest = Math.max(slowest, after.toMillis());
        }
        return history.size() / 2 + " streams of the revoked key ended within " + slowest + " ms, " + history.size() / 2
                + " of another key were whole";
    }
}
