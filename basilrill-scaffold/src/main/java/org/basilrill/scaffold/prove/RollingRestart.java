package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.Exchange.Call;
import org.basilrill.scaffold.prove.ProcessGroup.Signal;

/** Restarts all instances one after another under load. Every request must receive a complete response. */
final class RollingRestart implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    private static final int CALLERS = 8;
    /** Callers with streams that last longer than the time for which a stopping instance accepts new requests. */
    private static final int LONG_CALLERS = 2;

    private static final int LONG_TOKENS = 1600;
    private static final int TOKENS = 20;
    private static final Duration STOP_LIMIT = Duration.ofSeconds(75);
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    @Override
    public String name() {
        return "rolling-restart";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, DeploymentOptions.of(5))) {
            List<String> instances = deployment.instances();
            deployment.startTarget("engine-1", instances, "--models", RuleText.MODEL);
            deployment.startTarget("engine-2", instances, "--models", RuleText.MODEL);
            deployment.startTarget("ledger-1", instances, "--service", RuleText.SERVICE);
            deployment.start(new RuleText().account(ACCOUNT).text("first"));
            deployment.awaitService(Calls.stream(ACCOUNT, "warm", 1), instances);
            deployment.awaitService(Calls.lookup(ACCOUNT, "warm"), instances);
            LoadClient load = new LoadClient();
            try (WorkerThreads callers =
                    new WorkerThreads(CALLERS, random, (thread, own) -> caller(thread, own, load, deployment))) {
                List<String> order = new ArrayList<>(instances);
                Collections.shuffle(order, random);
                for (String instance : order) {
                    deployment.signal(instance, Signal.TERM);
                    boolean ended = deployment.processes().ended(instance, STOP_LIMIT);
                    ScenarioFailure.unless(ended, "an end of " + instance + " after SIGTERM", "none");
                    deployment.startInstance(instance);
                    deployment.awaitReady(instance);
                }
                callers.stop();
            }
            return checkHistory(load.history(), deployment);
        }
    }

    private static WorkerThreads.Work caller(int thread, Random random, LoadClient load, Deployment deployment) {
        CachedInstanceList instanceList = new CachedInstanceList(new LoadClient(), random, deployment.addresses());
        return count -> {
            String id = "caller-" + thread + "-" + count;
            Call call = thread < LONG_CALLERS ? Calls.stream(ACCOUNT, id, LONG_TOKENS) : call(id, random);
            load.send(instanceList.chooseAddress(), call);
            Waiting.sleepMillis(random.nextInt(20));
        };
    }

    private static Call call(String id, Random random) {
        return switch (random.nextInt(3)) {
            case 0 -> Calls.stream(ACCOUNT, id, TOKENS);
            case 1 -> Calls.lookup(ACCOUNT, id);
            default -> Calls.order(ACCOUNT, id, DEADLINE);
        };
    }

    private static String checkHistory(List<Exchange> history, Deployment deployment) throws Exception {
        List<Exchange> incomplete =
                history.stream().filter(exchange -> !Calls.isComplete(exchange)).toList();
        ScenarioFailure.unless(
                incomplete.isEmpty(),
                history.size() + " complete responses",
                incomplete.size() + " others, the first: "
                        + incomplete.stream()
                                .findFirst()
                                .map(Exchange::describe)
                                .orElse(""));
        Executions executions = Executions.of(deployment.targetState("ledger-1"));
        for (Exchange exchange : history) {
            if (exchange.call().idempotencyKey().isPresent()) {
                int count = executions.of(exchange.call());
                ScenarioFailure.unless(
                        count == 1, "one execution of " + exchange.call().body(), count);
            }
        }
        return history.size() + " requests while 5 instances were restarted, all with complete responses";
    }
}
