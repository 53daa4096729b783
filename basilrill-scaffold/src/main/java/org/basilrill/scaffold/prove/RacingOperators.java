package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.ProcessGroup.Signal;
import org.basilrill.scaffold.prove.RevisionHistory.Kind;
import org.basilrill.scaffold.prove.RevisionHistory.Operation;
import org.basilrill.scaffold.prove.RevisionSampler.Sample;

/**
 * Kills and suspends the leader while operators replace the rules concurrently. Each revision must be set by one
 * operator, come into force on all instances and never be reverted.
 */
final class RacingOperators implements Scenario {
    private static final int OPERATORS = 4;
    private static final int FAULTS = 6;
    private static final long PROPAGATION_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final Duration PROPAGATION_LIMIT = Duration.ofNanos(PROPAGATION_LIMIT_NANOS);

    private final Map<String, Integer> restartCounts = new ConcurrentHashMap<>();
    private final Queue<Fault> faults = new ConcurrentLinkedQueue<>();

    /** Period in which an instance was killed or suspended. */
    private record Fault(String instance, long beganNanos, long endedNanos) {}

    @Override
    public String name() {
        return "racing-operators";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, DeploymentOptions.of(5))) {
            RuleText rules = new RuleText().account("parish-desk");
            deployment.start(rules.text("first"));
            RevisionHistory history = new RevisionHistory();
            RevisionSampler sampler = new RevisionSampler(deployment);
            List<String> instances = deployment.instances();
            try (WorkerThreads operators = new WorkerThreads(
                            OPERATORS, random, (thread, own) -> operator(thread, own, deployment, rules, history));
                    WorkerThreads samplers = new WorkerThreads(instances.size(), random, (thread, own) -> count -> {
                        String instance = instances.get(thread);
                        sampler.sample(instance, restartCounts.getOrDefault(instance, 0));
                        Waiting.sleepMillis(60);
                    })) {
                for (int fault = 0; fault < FAULTS; fault++) {
                    injectLeaderFault(deployment, random, fault % 2 == 0);
                }
                operators.stop();
                long last = history.acknowledged().keySet().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(1);
                deployment.awaitRevision(last, instances, PROPAGATION_LIMIT);
                Waiting.sleepMillis(500);
                samplers.stop();
            }
            return checkHistory(history, sampler);
        }
    }

    private void injectLeaderFault(Deployment deployment, Random random, boolean kill) throws Exception {
        Waiting.sleepMillis(1500 + random.nextInt(1000));
        String leader = deployment.leader();
        long began = System.nanoTime();
        if (kill) {
            // A lagging follower that resumes when the leader is killed must not be elected.
            List<String> followers = new ArrayList<>(deployment.replicas());
            followers.remove(leader);
            String lagging = followers.get(random.nextInt(followers.size()));
            deployment.signal(lagging, Signal.STOP);
            Waiting.sleepMillis(600 + random.nextInt(900));
            deployment.kill(leader);
            deployment.signal(lagging, Signal.CONT);
            faults.add(new Fault(lagging, began, System.nanoTime()));
            restartCounts.merge(leader, 1, Integer::sum);
            Waiting.sleepMillis(1000 + random.nextInt(1500));
            deployment.startInstance(leader);
            deployment.awaitReady(leader);
        } else {
            deployment.signal(leader, Signal.STOP);
            Waiting.sleepMillis(1500 + random.nextInt(3000));
            deployment.signal(leader, Signal.CONT);
        }
        faults.add(new Fault(leader, began, System.nanoTime()));
    }

    private static WorkerThreads.Work operator(
            int thread, Random random, Deployment deployment, RuleText rules, RevisionHistory history) {
        List<String> addresses = deployment.addresses();
        return count -> {
            Exchange current = deployment.operator().rules(addresses.get(random.nextInt(addresses.size())));
            if (!current.ok()) {
                return;
            }
            long expected = current.json().path("revision").asLong();
            String marker = "operator-" + thread + "-" + count;
            Kind kind = Kind.UNKNOWN;
            // An operator resends the same text once if the response is lost.
            for (int sends = 0; sends < 2 && kind == Kind.UNKNOWN; sends++) {
                String address = addresses.get(random.nextInt(addresses.size()));
                Operation operation = operation(
                        deployment.operator().replace(address, expected, rules.text(marker)), expected, marker);
                history.add(operation);
                kind = operation.kind();
            }
            Waiting.sleepMillis(random.nextInt(100));
        };
    }

    private static Operation operation(Exchange exchange, long expected, String marker) {
        long revision = exchange.json().path("revision").asLong();
        Kind kind = Kind.UNKNOWN;
        if (exchange.ok()) {
            kind = Kind.ACCEPTED;
        } else if (exchange.errorCode().equals("REVISION_CONFLICT")) {
            kind = Kind.CONFLICT;
        } else if (exchange.outcome().equals("not_run")) {
            kind = Kind.NOT_RUN;
        }
        return new Operation(exchange.sentNanos(), exchange.endedNanos(), expected, marker, kind, revision);
    }

    private String checkHistory(RevisionHistory history, RevisionSampler sampler) {
        Map<Long, String> acknowledged = history.acknowledged();
        long last = Math.max(
                acknowledged.keySet().stream().mapToLong(Long::longValue).max().orElse(1),
                sampler.samples().stream().mapToLong(Sample::revision).max().orElse(1));
        ScenarioFailure.unless(
                acknowledged.size() >= FAULTS, "at least " + FAULTS + " accepted revisions", acknowledged);
        history.check(1, last, sampler.texts());
        sampler.requireNoReversal();
        for (Sample sample : sampler.samples()) {
            long requiredRevision = history.highestAcknowledgedBefore(sample.sentNanos() - PROPAGATION_LIMIT_NANOS);
            boolean exempt = !sample.current() && wasFaultyBefore(sample);
            ScenarioFailure.unless(
                    exempt || sample.revision() >= requiredRevision,
                    "revision " + requiredRevision + " in force on " + sample.instance() + " 6 s after it was accepted",
                    sample);
        }
        return acknowledged.size() + " revisions accepted of " + history.size() + " attempts by " + OPERATORS
                + " operators during " + FAULTS
                + " faults of the leader, one winner each, linearizable; in force within"
                + " 6 s, none reverted in " + sampler.samples().size() + " samples";
    }

    /** Returns whether the instance was killed or suspended during the sample or up to 6 s before it. */
    private boolean wasFaultyBefore(Sample sample) {
        return faults.stream()
                .anyMatch(fault -> fault.instance().equals(sample.instance())
                        && sample.sentNanos() >= fault.beganNanos()
                        && sample.sentNanos() <= fault.endedNanos() + PROPAGATION_LIMIT_NANOS);
    }
}
