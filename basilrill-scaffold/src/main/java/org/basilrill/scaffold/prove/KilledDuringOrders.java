package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.Exchange.Call;

/**
 * Kills instances while orders run and are resent to other instances. Each order must run at most once, and an order
 * whose only outcome is not_run must never have run.
 */
final class KilledDuringOrders implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    private static final int CALLERS = 12;
    private static final int KILLS = 6;
    private static final int MAX_ATTEMPTS = 6;
    private static final Duration DEADLINE = Duration.ofSeconds(3);

    @Override
    public String name() {
        return "killed-during-orders";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, DeploymentOptions.of(5))) {
            List<String> instances = deployment.instances();
            // An order takes long enough that kills often fall between its first byte and the recording of its
            // response.
            deployment.startTarget(
                    "ledger-1", instances, "--service", RuleText.SERVICE, "--token-millis", "40", "--slots", "64");
            deployment.start(new RuleText().account(ACCOUNT).text("first"));
            deployment.awaitService(Calls.lookup(ACCOUNT, "warm"), instances);
            LoadClient load = new LoadClient();
            try (WorkerThreads callers =
                    new WorkerThreads(CALLERS, random, (thread, own) -> caller(thread, own, load, deployment))) {
                for (int kill = 0; kill < KILLS; kill++) {
                    Waiting.sleepMillis(400 + random.nextInt(800));
                    String killed = instances.get(random.nextInt(instances.size()));
                    deployment.kill(killed);
                    Waiting.sleepMillis(200 + random.nextInt(300));
                    deployment.startInstance(killed);
                    deployment.awaitReady(killed);
                }
                callers.stop();
            }
            return checkHistory(load.history(), Executions.of(deployment.targetState("ledger-1")));
        }
    }

    /** Resends an order until its outcome is definite; some callers stop after the first not_run. */
    private static WorkerThreads.Work caller(int thread, Random random, LoadClient load, Deployment deployment) {
        List<String> addresses = deployment.addresses();
        return count -> {
            Call call = Calls.order(ACCOUNT, "order-" + thread + "-" + count, DEADLINE);
            boolean retriesNotRun = random.nextBoolean();
            for (int sends = 0; sends < MAX_ATTEMPTS; sends++) {
                Exchange exchange = load.send(addresses.get(random.nextInt(addresses.size())), call);
                boolean notRun = exchange.outcome().equals("not_run");
                if (exchange.ok() || exchange.errorCode().equals("ORDER_OUTCOME_UNKNOWN") || notRun && !retriesNotRun) {
                    break;
                }
                Waiting.sleepMillis(50);
            }
        };
    }

    private static String checkHistory(List<Exchange> history, Executions executions) {
        Map<String, List<Exchange>> orders = new TreeMap<>();
        history.forEach(exchange -> orders.computeIfAbsent(exchange.call().body(), unused -> new ArrayList<>())
                .add(exchange));
        int resent = 0;
        int notRun = 0;
        int interrupted = 0;
        for (List<Exchange> sends : orders.values()) {
            Exchange last = sends.get(sends.size() - 1);
            int count = executions.of(last.call());
            ScenarioFailure.unless(
                    count <= 1, "at most one execution of " + last.call().body(), count + ", " + last.describe());
            boolean allNotRun = sends.stream().allMatch(send -> send.outcome().equals("not_run"));
            ScenarioFailure.unless(
                    !allNotRun || count == 0, "no execution, as every response said not_run", last.describe());
            for (Exchange send : sends) {
                ScenarioFailure.unless(
                        !send.ok() || count == 1 && Calls.isComplete(send),
                        "the response of one execution",
                        send.describe());
            }
            resent += sends.size() > 1 ? 1 : 0;
            notRun += allNotRun ? 1 : 0;
            interrupted += sends.stream().anyMatch(send -> !send.hasResponse()) ? 1 : 0;
        }
        ScenarioFailure.unless(interrupted > 0 && resent > 0, "orders hit by a kill and resent", "none");
        return orders.size() + " orders, " + resent + " resent, " + interrupted + " interrupted by " + KILLS
                + " kills, " + notRun + " with only not_run responses; none ran twice, every not_run was true";
    }
}
