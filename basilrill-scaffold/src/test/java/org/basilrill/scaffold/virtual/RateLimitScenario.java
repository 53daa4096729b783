package org.basilrill.scaffold.virtual;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.instance.Instance;
import org.basilrill.state.configuration.KeyHash;

/** Complete instances, callers of one service, and targets of it that may state a request rate. Not thread safe. */
final class RateLimitScenario {
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration ANNOUNCEMENT_PERIOD = Duration.ofMillis(500);
    private static final int REPLICAS = 3;
    private static final double[] RATES = {0.5, 1, 2, 5, 20};
    /** Time after a restart or an isolation until an instance has to know the limits again. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final VirtualNetwork network;
    private final VirtualTargets targets = new VirtualTargets();
    private final VirtualInstances deployment;
    private final VirtualOperators operators;
    private final List<VirtualCaller> callers = new ArrayList<>();
    private final List<VirtualTarget> ledgers = new ArrayList<>();

    /** Times at which the requests of an instance do not count, because it was restarted or isolated. */
    private final List<Exemption> exemptions = new ArrayList<>();

    /** Starts the instances and announces the targets; the log has rules at the end. */
    RateLimitScenario(long seed, int instances, int targetCount) {
        random = new Random(seed);
        network = new VirtualNetwork(time, new Random(random.nextLong()));
        deployment = new VirtualInstances(
                instances,
                REPLICAS,
                time,
                new Random(random.nextLong()),
                network,
                targets,
                KeyHash.of(VirtualOperators.OPERATOR_KEY));
        operators = new VirtualOperators(time, random, deployment, new SpendingOracle(Duration.ZERO));
        deployment.start();
        time.runFor(Duration.ofSeconds(3));
        operators.installFirstRules();
        time.runFor(Duration.ofSeconds(1));
        for (int number = 1; number <= targetCount; number++) {
            addTarget("ledger-" + number);
        }
        time.runFor(Duration.ofSeconds(5));
        operators.recordAcceptedRevisions();
    }

    VirtualTarget target(int index) {
        return ledgers.get(index);
    }

    VirtualInstances deployment() {
        return deployment;
    }

    VirtualNetwork network() {
        return network;
    }

    VirtualTime time() {
        return time;
    }

    List<VirtualCaller> callers() {
        return callers;
    }

    /** Lets all targets with an index from {@code first} to {@code last} state a rate in every response. */
    void stateRate(int first, int last, double perSecond) {
        for (int index = first; index <= last; index++) {
            target(index).stateRate(OptionalDouble.of(perSecond), 1);
        }
    }

    /** Sends requests at random instances, this many per second, with the given deadline. */
    void run(Duration duration, double requestsPerSecond, Duration deadline) {
        double due = 0;
        for (long end = time.nanos() + duration.toNanos(); time.nanos() < end; ) {
            due += requestsPerSecond * STEP.toMillis() / 1000.0;
            for (; due >= 1; due--) {
                InstanceId instance = deployment
                        .instances()
                        .get(random.nextInt(deployment.instances().size()));
                deployment.running(instance).ifPresent(running -> call(instance, running, deadline));
            }
            time.runFor(STEP);
        }
    }

    /** Returns the first violation of the rate that a target states, if there is one. */
    Optional<String> violation(int index) {
        return new RateLimitOracle(target(index), execution -> isExemptiond(execution.sender(), execution.nanos()))
                .violation(time.nanos());
    }

    /** Crashes and restarts or isolates a random instance, or changes the rate of a random target. */
    void applyRandomEvent() {
        InstanceId instance =
                deployment.instances().get(random.nextInt(deployment.instances().size()));
        InstanceId victim = random.nextInt(3) == 0 ? deployment.leader().orElse(instance) : instance;
        long millis = 200 + random.nextInt(6000);
        switch (random.nextInt(4)) {
            case 0 -> {
                deployment.crash(victim);
                exempt(victim, millis);
                time.schedule(Duration.ofMillis(millis), () -> deployment.restart(victim));
            }
            case 1 -> {
                network.cutFromPeers(victim, true);
                exempt(victim, millis);
                time.schedule(Duration.ofMillis(millis), () -> network.cutFromPeers(victim, false));
            }
            case 2 -> stateRate(0, 0, RATES[random.nextInt(RATES.length)]);
            default ->
                target(1).stateRate(OptionalDouble.of(RATES[random.nextInt(RATES.length)]), 1 + random.nextInt(3));
        }
    }

    private void exempt(InstanceId instance, long millis) {
        long until = time.nanos() + Duration.ofMillis(millis).plus(CONTACT).toNanos();
        exemptions.add(new Exemption(instance, time.nanos(), until));
    }

    private boolean isExemptiond(InstanceId instance, long nanos) {
        return exemptions.stream()
                .anyMatch(exemption -> exemption.instance().equals(instance)
                        && nanos >= exemption.fromNanos()
                        && nanos <= exemption.untilNanos());
    }

    private void call(InstanceId id, Instance instance, Duration deadline) {
        VirtualCaller.Call call = new VirtualCaller.Call(
                "request-" + callers.size(),
                operators.validKey(),
                "/v1/services/ledger/status",
                "status " + callers.size(),
                Optional.empty(),
                deadline);
        VirtualCaller caller = new VirtualCaller(time, id, call);
        callers.add(caller);
        caller.attach(instance.coordinator().start(call.head(), call.body().getBytes(StandardCharsets.UTF_8), caller));
    }

    private void addTarget(String name) {
        VirtualTarget target = new VirtualTarget(
                time,
                new Random(random.nextLong()),
                new TargetId(name),
                Optional.of(VirtualOperators.SERVICE),
                Optional.empty());
        targets.add(target);
        ledgers.add(target);
        announceAndRepeat(target, ledgers.size());
    }

    /** Announces a running target to an instance, the next one if that is not running. */
    private void announceAndRepeat(VirtualTarget target, int position) {
        if (target.isUp()) {
            List<InstanceId> instances = deployment.instances();
            for (int offset = 0; offset < instances.size(); offset++) {
                Optional<Instance> receiver = deployment.running(instances.get((position + offset) % instances.size()));
                if (receiver.isPresent()) {
                    receiver.get().announcements().receiveAnnouncement(target.announcement());
                    break;
                }
            }
        }
        time.schedule(ANNOUNCEMENT_PERIOD, () -> announceAndRepeat(target, position));
    }

    /** A time in which the requests of an instance do not count. */
    private record Exemption(InstanceId instance, long fromNanos, long untilNanos) {}
}
