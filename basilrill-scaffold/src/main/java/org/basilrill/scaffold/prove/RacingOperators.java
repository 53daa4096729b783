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
import org.basilrill.scaffold.prove.Deployment.Shape;
import org.basilrill.scaffold.prove.ProcessGroup.Signal;
import org.basilrill.scaffold.prove.RevisionHistory.Kind;
import org.basilrill.scaffold.prove.RevisionHistory.Operation;
import org.basilrill.scaffold.prove.RevisionSampler.Sample;

/** Kills and stops the leader while operators race: one winner per revision, in force everywhere, never reverted. */
final class RacingOperators implements Scenario {
    private static final int OPERATORS = 4;
    private static final int FAULTS = 6;
    private static final long IN_FORCE_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final Duration IN_FORCE = Duration.ofNanos(IN_FORCE_NANOS);

    private final Map<String, Integer> lives = new ConcurrentHashMap<>();
    private final Queue<Fault> faults = new ConcurrentLinkedQueue<>();

    /** A time during which an instance was killed or stopped. */
    private record Fault(String instance, long beganNanos, long endedNanos) {}

    @Override
    public String name() {
        return "racing-operators";
    }

    @Override
    public String run(Laboratory laboratory, Random random) throws Exception {
        try (Deployment deployment = new Deployment(laboratory, Shape.of(5))) {
            RuleText rules = new RuleText().account("parish-desk");
            deployment.start(rules.text("first"));
            RevisionHistory history = new RevisionHistory();
            RevisionSampler sampler = new RevisionSampler(deployment);
            List<String> instances = deployment.instances();
            try (Crowd operators = new Crowd(
                            OPERATORS, random, (thread, own) -> operator(thread, own, deployment, rules, history));
                    Crowd samplers = new Crowd(instances.size(), random, (thread, own) -> count -> {
                        String instance = instances.get(thread);
                        sampler.sample(instance, lives.getOrDefault(instance, 0));
                        Waiting.millis(60);
                    })) {
                for (int fault = 0; fault < FAULTS; fault++) {
                    disturbLeader(deployment, random, fault % 2 == 0);
                }
                operators.stop();
                long last = history.acknowledged().keySet().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(1);
                deployment.awaitRevision(last, instances, IN_FORCE);
                Waiting.millis(500);
                samplers.stop();
            }
            return judge(history, sampler);
        }
    }

    private void disturbLeader(Deployment deployment, Random random, boolean kill) throws Exception {
        Waiting.millis(1500 + random.nextInt(1000));
        String leader = deployment.leader();
        long began = System.nanoTime();
        if (kill) {
            // A follower that lags and wakes up as the leader dies must not be elected.
            List<String> followers = new ArrayList<>(deployment.replicas());
            followers.remove(leader);
            String lagging = followers.get(random.nextInt(followers.size()));
            deployment.signal(lagging, Signal.STOP);
            Waiting.millis(600 + random.nextInt(900));
            deployment.kill(leader);
            deployment.signal(lagging, Signal.CONT);
            faults.add(new Fault(lagging, began, System.nanoTime()));
            lives.merge(leader, 1, Integer::sum);
            Waiting.millis(1000 + random.nextInt(1500));
            deployment.startInstance(leader);
            deployment.awaitReady(leader);
        } else {
            deployment.signal(leader, Signal.STOP);
            Waiting.millis(1500 + random.nextInt(3000));
            deployment.signal(leader, Signal.CONT);
        }
        faults.add(new Fault(leader, began, System.nanoTime()));
    }

    private static Crowd.Work operator(
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
            // An operator resends the same text once after a lost answer.
            for (int sends = 0; sends < 2 && kind == Kind.UNKNOWN; sends++) {
                String address = addresses.get(random.nextInt(addresses.size()));
                Operation operation = operation(
                        deployment.operator().replace(address, expected, rules.text(marker)), expected, marker);
                history.add(operation);
                kind = operation.kind();
            }
            Waiting.millis(random.nextInt(100));
        };
    }

    private static Operation operation(Exchange exchange, long expected, String marker) {
        long revision = exchange.json().path("revision").asLong();
        Kind kind = Kind.UNKNOWN;
        if (exchange.ok()) {
            kind = Kind.ACCEPTED;
        } else if (exchange.code().equals("REVISION_CONFLICT")) {
            kind = Kind.CONFLICT;
        } else if (exchange.outcome().equals("not_run")) {
            kind = Kind.NOT_RUN;
        }
        return new Operation(exchange.sentNanos(), exchange.endedNanos(), expected, marker, kind, revision);
    }

    private String judge(RevisionHistory history, RevisionSampler sampler) {
        Map<Long, String> acknowledged = history.acknowledged();
        long last = Math.max(
                acknowledged.keySet().stream().mapToLong(Long::longValue).max().orElse(1),
                sampler.samples().stream().mapToLong(Sample::revision).max().orElse(1));
        ProofFailure.unless(acknowledged.size() >= FAULTS, "at least " + FAULTS + " accepted revisions", acknowledged);
        history.check(1, last, sampler.texts());
        sampler.requireNoReversal();
        for (Sample sample : sampler.samples()) {
            long due = history.highestAcknowledgedBefore(sample.sentNanos() - IN_FORCE_NANOS);
            boolean exempt = !sample.current() && disturbed(sample);
            ProofFailure.unless(
                    exempt || sample.revision() >= due,
                    "revision " + due + " in force on " + sample.instance() + " 6 s after it was accepted",
                    sample);
        }
        return acknowledged.size() + " revisions accepted of " + history.size() + " attempts by " + OPERATORS
                + " operators during " + FAULTS
                + " faults of the leader, one winner each, linearizable; in force within"
                + " 6 s, none reverted in " + sampler.samples().size() + " samples";
    }

    /** Returns whether the instance was killed or stopped shortly before the sample. */
    private boolean disturbed(Sample sample) {
        return faults.stream()
                .anyMatch(fault -> fault.instance().equals(sample.instance())
                        && sample.sentNanos() >= fault.beganNanos()
                        && sample.sentNanos() <= fault.endedNanos() + IN_FORCE_NANOS);
    }
}
