package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.Exchange.Call;

/** Repeats a request that crashes targets through different instances; at most three targets may be lost. */
final class CrashingRequest implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    /** A fake engine ends its process when a request contains this word. */
    private static final String CRASH_WORD = "crash-this-target";

    private static final int TARGETS = 6;
    private static final int ATTEMPTS = 12;
    /** Two ends by chance may meet the same sound request, so a request is refused from the third one on. */
    private static final int MAX_LOST_TARGETS = 3;

    /** Longer than the tolerance within which crashes count as one, as those of a rack do. */
    private static final int SHORTEST_PAUSE_MILLIS = 200;

    @Override
    public String name() {
        return "crashing-request";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, DeploymentOptions.of(5))) {
            List<String> instances = deployment.instances();
            for (int target = 1; target <= TARGETS; target++) {
                deployment.startTarget("engine-" + target, instances, "--models", RuleText.MODEL);
            }
            deployment.start(new RuleText().account(ACCOUNT).text("first"));
            deployment.awaitService(Calls.stream(ACCOUNT, "warm", 1), instances);
            Call crash = Calls.stream(ACCOUNT, CRASH_WORD, 10, Duration.ofSeconds(5));
            LoadClient load = new LoadClient();
            int refused = 0;
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                String instance = instances.get((attempt + random.nextInt(2)) % instances.size());
                Exchange exchange = load.send(deployment.address(instance), crash);
                ScenarioFailure.unless(
                        exchange.hasResponse() && !exchange.body().contains("[DONE]"),
                        "a refusal or failure",
                        exchange.describe());
                refused += exchange.errorCode().equals("CRASH_SUSPECT") ? 1 : 0;
                Waiting.sleepMillis(SHORTEST_PAUSE_MILLIS + random.nextInt(500));
            }
            int lost = 0;
            for (int target = 1; target <= TARGETS; target++) {
                lost += deployment.processes().isAlive("engine-" + target) ? 0 : 1;
            }
            ScenarioFailure.unless(lost <= MAX_LOST_TARGETS, "at most " + MAX_LOST_TARGETS + " targets lost", lost);
            ScenarioFailure.unless(
                    lost > 0 && refused > 0, "targets lost and the request refused", lost + ", " + refused);
            deployment.awaitService(Calls.stream(ACCOUNT, "after", 5), instances);
            return lost + " of " + TARGETS + " targets lost to " + ATTEMPTS + " sends through 5 instances, " + refused
                    + " of them refused as crash suspects; other requests run";
        }
    }
}
