package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.Exchange.Call;

/**
 * Random faults that overlap, under load, with the real programs. Callers keep their connections until the process at
 * the other end is gone. What callers receive and targets run is checked while the faults last and after them.
 *
 * @param seconds time in which faults begin
 * @param instances number of instances, at least three
 */
record Soak(int seconds, int instances) implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    private static final int CALLERS = 8;
    private static final int TOKENS = 20;
    private static final int LONGEST_PAUSE_BETWEEN_FAULTS_MILLIS = 1500;
    private static final int PROGRESS_MILLIS = 3000;
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    /** One in this many requests goes to another instance than the one before. */
    private static final int REQUESTS_PER_INSTANCE = 12;

    private static final List<String> ENGINES = List.of("engine-1", "engine-2");
    private static final List<String> SERVICES = List.of("ledger-1", "ledger-2");

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        DeploymentOptions options = new DeploymentOptions(instances, true, PROGRESS_MILLIS, true);
        try (Deployment deployment = new Deployment(environment, options)) {
            start(deployment);
            LoadClient load = new LoadClient();
            int faults;
            long revision;
            Random callerRandom = new Random(random.nextLong());
            try (SoakFaults injector = new SoakFaults(deployment, targets());
                    WorkerThreads callers = new WorkerThreads(
                            CALLERS, callerRandom, (thread, own) -> caller(thread, own, load, deployment))) {
                revision = disturb(deployment, injector, random);
                faults = injector.awaitEnd();
                awaitRecovery(deployment, revision);
                callers.stop();
            }
            check(load.history(), deployment);
            return load.history().size() + " requests during " + faults + " faults, revision " + revision + " in force";
        }
    }

    private static List<String> targets() {
        List<String> targets = new ArrayList<>(ENGINES);
        targets.addAll(SERVICES);
        return targets;
    }

    private static void start(Deployment deployment) throws Exception {
        List<String> instances = deployment.instances();
        for (String engine : ENGINES) {
            deployment.startRelayedTarget(engine, instances, "--models", RuleText.MODEL);
        }
        for (String service : SERVICES) {
            deployment.startRelayedTarget(service, instances, "--service", RuleText.SERVICE);
        }
        deployment.start(new RuleText().account(ACCOUNT).text("first"));
        deployment.awaitService(Calls.stream(ACCOUNT, "warm", 1), instances);
        deployment.awaitService(Calls.lookup(ACCOUNT, "warm"), instances);
    }

    /** Injects faults and changes the rules; returns the highest revision that was accepted. */
    private long disturb(Deployment deployment, SoakFaults injector, Random random) throws Exception {
        long accepted = 1;
        long end = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
        for (int count = 0; System.nanoTime() < end; count++) {
            injector.inject(random);
            if (random.nextInt(4) == 0) {
                String address = deployment.addresses().get(random.nextInt(instances));
                String text = new RuleText().account(ACCOUNT).text("change-" + count);
                Exchange replaced = deployment.operator().replace(address, accepted, text);
                accepted = replaced.ok()
                        ? Math.max(accepted, replaced.json().path("revision").asLong())
                        : Math.max(accepted, revisionIn(replaced));
            }
            Waiting.sleepMillis(random.nextInt(LONGEST_PAUSE_BETWEEN_FAULTS_MILLIS));
        }
        return accepted;
    }

    /** Returns the revision that a conflict names; an earlier request without a response may have been accepted. */
    private static long revisionIn(Exchange conflict) {
        return conflict.json().path("error").path("revision").asLong(0);
    }

    private static void awaitRecovery(Deployment deployment, long revision) throws Exception {
        for (String instance : deployment.instances()) {
            deployment.awaitReady(instance);
        }
        deployment.awaitRevision(revision, deployment.instances(), SoakChecks.recoveryLimit());
        deployment.awaitService(Calls.stream(ACCOUNT, "after", 1), deployment.instances());
        deployment.awaitService(Calls.lookup(ACCOUNT, "after"), deployment.instances());
    }

    private static void check(List<Exchange> history, Deployment deployment) throws Exception {
        List<Executions> executions = new ArrayList<>();
        for (String service : SERVICES) {
            executions.add(Executions.of(deployment.targetState(service)));
        }
        SoakChecks.checkOrders(history, executions);
        for (String target : targets()) {
            SoakChecks.checkKeys(deployment.targetState(target));
        }
    }

    private static WorkerThreads.Work caller(int thread, Random random, LoadClient load, Deployment deployment) {
        String[] address = {deployment.addresses().get(0)};
        return count -> {
            if (random.nextInt(REQUESTS_PER_INSTANCE) == 0) {
                address[0] = deployment
                        .addresses()
                        .get(random.nextInt(deployment.addresses().size()));
            }
            Exchange exchange = load.send(address[0], call("caller-" + thread + "-" + count, random));
            SoakChecks.fault(exchange).ifPresent(fault -> {
                throw new ScenarioFailure("responses that keep the promises", fault);
            });
            Waiting.sleepMillis(random.nextInt(20));
        };
    }

    private static Call call(String id, Random random) {
        return switch (random.nextInt(3)) {
            case 0 -> Calls.stream(ACCOUNT, id, TOKENS, DEADLINE);
            case 1 -> Calls.lookup(ACCOUNT, id);
            default -> Calls.order(ACCOUNT, id, DEADLINE);
        };
    }
}
