package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.basilrill.scaffold.prove.Deployment.Shape;
import org.basilrill.scaffold.prove.Exchange.Call;

/** Sends a request that crashes targets again and again through different instances: at most two targets are lost. */
final class CrashingRequest implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    /** Makes a fake engine end its process. */
    private static final String CRASH = "crash-this-target";

    private static final int TARGETS = 6;
    private static final int SENDS = 12;
    private static final int MOST_LOST = 2;

    @Override
    public String name() {
        return "crashing-request";
    }

    @Override
    public String run(Laboratory laboratory, Random random) throws Exception {
        try (Deployment deployment = new Deployment(laboratory, Shape.of(5))) {
            List<String> instances = deployment.instances();
            for (int target = 1; target <= TARGETS; target++) {
                deployment.startTarget("engine-" + target, instances, "--models", RuleText.MODEL);
            }
            deployment.start(new RuleText().account(ACCOUNT).text("first"));
            deployment.awaitService(Calls.stream(ACCOUNT, "warm", 1), instances);
            Call crash = Calls.stream(ACCOUNT, CRASH, 10, Duration.ofSeconds(5));
            LoadClient load = new LoadClient();
            int refused = 0;
            for (int sends = 0; sends < SENDS; sends++) {
                String instance = instances.get((sends + random.nextInt(2)) % instances.size());
                Exchange exchange = load.send(deployment.address(instance), crash);
                ProofFailure.unless(
                        exchange.answered() && !exchange.body().contains("[DONE]"),
                        "a refusal or failure",
                        exchange.describe());
                refused += exchange.code().equals("CRASH_SUSPECT") ? 1 : 0;
                Waiting.millis(random.nextInt(700));
            }
            int lost = 0;
            for (int target = 1; target <= TARGETS; target++) {
                lost += deployment.processes().isAlive("engine-" + target) ? 0 : 1;
            }
            ProofFailure.unless(lost <= MOST_LOST, "at most " + MOST_LOST + " targets lost", lost);
            ProofFailure.unless(lost > 0 && refused > 0, "targets lost and the request refused", lost + ", " + refused);
            deployment.awaitService(Calls.stream(ACCOUNT, "after", 5), instances);
            return lost + " of " + TARGETS + " targets lost to " + SENDS + " sends through 5 instances, " + refused
                    + " of them refused as crash suspects; other requests run";
        }
    }
}
