package org.basilrill.scaffold.virtual;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.instance.Instance;
import org.basilrill.state.configuration.KeyHash;

/**
 * Simulates one random history of a deployment: callers send requests, operators change rules and targets fail while
 * instances crash, lose their data folders and are isolated. The seed determines the whole history. Not thread safe.
 */
public final class VirtualHistory {
    /** Pull interval with lost responses, the lease of an isolated owner (3 s) and the lifetime of a grant (2 s). */
    private static final Duration RATE_PROPAGATION = Duration.ofMillis(5500);

    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration START_DURATION = Duration.ofSeconds(3);
    /** An ejected target is probed after at most 30 s. */
    private static final Duration RECOVERY_DURATION = Duration.ofSeconds(35);
    /** The longest deadline plus the margin within which a started response must end. */
    private static final Duration LAST_RESPONSES_DURATION = Duration.ofSeconds(42);

    private static final Duration ANNOUNCEMENT_PERIOD = Duration.ofMillis(500);
    private static final Duration CHARGE_DEADLINE = Duration.ofSeconds(5);
    private static final int[] DEADLINES_MILLIS = {1000, 3000, 20_000};
    private static final int INSTANCES = 5;
    private static final int REPLICAS = 3;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final VirtualNetwork network;
    private final VirtualTargets targets = new VirtualTargets();
    private final VirtualInstances deployment;
    private final SpendingOracle spending = new SpendingOracle(RATE_PROPAGATION);
    private final VirtualOperators operators;
    private final HistoryChecks checks;
    private final List<VirtualCaller> callers = new ArrayList<>();
    private final List<VirtualCaller.Call> orders = new ArrayList<>();
    private final Map<TargetId, InstanceId> announcedTo = new HashMap<>();
    private final Set<Disturbance> disturbances;

    /** Kinds of faults that are injected in addition to calls and rule changes. */
    public enum Disturbance {
        /** Messages between instances are lost, duplicated and delayed. */
        MESSAGES,
        /** Processes crash and restart. */
        CRASHES,
        /** Replicas restart with an empty data folder. */
        WIPES,
        /** Instances are isolated from all other instances, but not from callers and targets. */
        ISOLATIONS,
        /** Targets respond slowly, late, wrongly, in part or not at all, or crash. */
        TARGETS,
        /** Targets leave and restart later. */
        LEAVING
    }

    public VirtualHistory(long seed, Set<Disturbance> disturbances) {
        this.random = new Random(seed);
        this.disturbances = disturbances;
        this.network = new VirtualNetwork(time, new Random(random.nextLong()));
        this.deployment = new VirtualInstances(
                INSTANCES,
                REPLICAS,
                time,
                new Random(random.nextLong()),
                network,
                targets,
                KeyHash.of(VirtualOperators.OPERATOR_KEY));
        this.operators = new VirtualOperators(time, random, deployment, spending);
        this.checks = new HistoryChecks(time, deployment, targets, operators, spending);
        for (int number = 1; number <= 3; number++) {
            addTarget("engine-" + number, Optional.empty(), Optional.of(new ModelId(VirtualOperators.MODEL)));
            addTarget("ledger-" + number, Optional.of(VirtualOperators.SERVICE), Optional.empty());
        }
    }

    /** Runs the history for the given duration, then ends all faults and checks that every instance serves requests. */
    public HistoryChecks run(Duration duration) {
        deployment.start();
        advance(START_DURATION);
        operators.installFirstRules();
        advance(START_DURATION);
        if (disturbances.contains(Disturbance.MESSAGES)) {
            network.inject(new VirtualNetwork.Faults(0.03, 0.03, 0.01));
        }
        if (disturbances.contains(Disturbance.TARGETS)) {
            targets.all()
                    .forEach(target -> target.setBehaviours(EnumSet.of(TargetBehaviour.values()[random.nextInt(6)])));
        }
        for (long end = time.nanos() + duration.toNanos(); time.nanos() < end; ) {
            performRandomActions();
            advance(STEP);
        }
        endFaults();
        deployment.instances().forEach(id -> {
            checks.mustSucceed(call(id, completion(operators.validKey())));
            checks.mustSucceed(call(id, newOrder(operators.validKey())));
        });
        advance(LAST_RESPONSES_DURATION);
        callers.forEach(checks::check);
        return checks;
    }

    private void performRandomActions() {
        if (random.nextInt(3) == 0) {
            sendRandomCall();
        }
        if (random.nextInt(10) == 0) {
            operators.changeRules();
        }
        if (random.nextInt(2) == 0) {
            chargeLimitedAccount();
        }
        if (random.nextInt(20) == 0) {
            injectRandomFault();
        }
        if (!callers.isEmpty() && random.nextInt(100) == 0) {
            callers.get(random.nextInt(callers.size())).disconnect();
        }
    }

    private void injectRandomFault() {
        List<Disturbance> possible = List.copyOf(disturbances);
        if (possible.isEmpty()) {
            return;
        }
        InstanceId id = randomElement(deployment.instances());
        switch (possible.get(random.nextInt(possible.size()))) {
            case MESSAGES -> {
                // Message faults are injected during the whole history.
            }
            case CRASHES -> {
                crash(id);
                time.schedule(Duration.ofMillis(random.nextInt(8000)), () -> deployment.restart(id));
            }
            case WIPES -> {
                if (deployment.replicas().contains(id) && deployment.allReplicasAreMembers()) {
                    crash(id);
                    deployment.wipe(id);
                    time.schedule(Duration.ofMillis(random.nextInt(2000)), () -> deployment.restart(id));
                }
            }
            case ISOLATIONS -> {
                isolate(id, true);
                time.schedule(Duration.ofMillis(random.nextInt(20_000)), () -> isolate(id, false));
            }
            case TARGETS -> anyTarget().setBehaviours(EnumSet.of(TargetBehaviour.values()[random.nextInt(6)]));
            case LEAVING -> anyTarget().leave();
            default -> throw new IllegalStateException("unknown kind of fault");
        }
    }

    private void endFaults() {
        network.inject(VirtualNetwork.Faults.NONE);
        deployment.instances().forEach(id -> {
            deployment.restart(id);
            isolate(id, false);
        });
        targets.all().forEach(target -> target.setBehaviours(Set.of()));
        advance(RECOVERY_DURATION);
    }

    private void crash(InstanceId id) {
        deployment.crash(id);
        checks.recordCrash(id);
        callers.stream()
                .filter(caller -> caller.instance().equals(id) && !caller.isFinished())
                .forEach(VirtualCaller::connectionLost);
    }

    private void isolate(InstanceId id, boolean isolated) {
        network.cutFromPeers(id, isolated);
        checks.recordIsolation(id, isolated);
    }

    private void sendRandomCall() {
        InstanceId id = randomElement(deployment.instances());
        if (deployment.running(id).isEmpty()) {
            return;
        }
        String key = operators.anyKey();
        VirtualCaller.Call call;
        if (random.nextInt(3) == 0) {
            call = completion(key);
        } else if (orders.isEmpty() || random.nextInt(3) == 0) {
            call = newOrder(key);
        } else {
            call = repeatedOrder(orders.get(orders.size() - 1 - random.nextInt(Math.min(5, orders.size()))));
        }
        call(id, call);
    }

    private VirtualCaller call(InstanceId id, VirtualCaller.Call call) {
        VirtualCaller caller = new VirtualCaller(time, id, call);
        callers.add(caller);
        Instance instance = deployment.running(id).orElseThrow();
        caller.attach(instance.coordinator().start(call.head(), call.body().getBytes(StandardCharsets.UTF_8), caller));
        return caller;
    }

    private VirtualCaller.Call completion(String key) {
        String id = "request-" + callers.size();
        String body = String.format(
                "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":10,\"prompt\":\"%s\"}", VirtualOperators.MODEL, id);
        return new VirtualCaller.Call(id, key, "/v1/completions", body, Optional.empty(), deadline());
    }

    private VirtualCaller.Call newOrder(String key) {
        String id = "request-" + callers.size();
        VirtualCaller.Call order = new VirtualCaller.Call(
                id, key, "/v1/services/ledger/orders", "pay for " + id, Optional.of("order-" + id), deadline());
        orders.add(order);
        return order;
    }

    private VirtualCaller.Call repeatedOrder(VirtualCaller.Call order) {
        return new VirtualCaller.Call(
                "request-" + callers.size(),
                operators.anyKey(),
                order.path(),
                order.body(),
                order.idempotencyKey(),
                deadline());
    }

    private Duration deadline() {
        return Duration.ofMillis(DEADLINES_MILLIS[random.nextInt(DEADLINES_MILLIS.length)]);
    }

    /** Charges the limited account directly, because the time of a charge cannot be observed through a call. */
    private void chargeLimitedAccount() {
        InstanceId id = randomElement(deployment.instances());
        deployment.running(id).ifPresent(instance -> {
            long tokens = 1 + random.nextInt(300);
            long deadline = deployment.nanos(id) + CHARGE_DEADLINE.toNanos();
            instance.budgets()
                    .charge(VirtualOperators.LIMITED, tokens, deadline)
                    .thenAccept(charge -> {
                        SpendingOracle.RecordedCharge recordedCharge = spending.recordCharge(time.nanos(), tokens);
                        if (random.nextInt(4) == 0) {
                            long used = random.nextLong(tokens);
                            time.schedule(Duration.ofMillis(random.nextInt(2000)), () -> {
                                if (deployment
                                        .running(id)
                                        .filter(instance::equals)
                                        .isPresent()) {
                                    recordedCharge.settle(used);
                                    charge.settle(used);
                                }
                            });
                        }
                    });
        });
    }

    private void addTarget(String name, Optional<String> service, Optional<ModelId> model) {
        VirtualTarget target =
                new VirtualTarget(time, new Random(random.nextLong()), new TargetId(name), service, model);
        targets.add(target);
        announcedTo.put(target.id(), randomElement(deployment.instances()));
        announceAndRepeat(target);
    }

    /**
     * Announces a target to one instance, or to another one if that is not running, and schedules the next
     * announcement. A target that crashed or is leaving restarts at random.
     */
    private void announceAndRepeat(VirtualTarget target) {
        if (!target.isUp() && random.nextInt(6) == 0 || target.isLeaving() && random.nextInt(16) == 0) {
            target.crash();
            target.restart();
        }
        if (target.isUp()) {
            if (deployment.running(announcedTo.get(target.id())).isEmpty()) {
                announcedTo.put(target.id(), randomElement(deployment.instances()));
            }
            deployment
                    .running(announcedTo.get(target.id()))
                    .ifPresent(receiver -> receiver.announcements().receiveAnnouncement(target.announcement()));
        }
        time.schedule(ANNOUNCEMENT_PERIOD, () -> announceAndRepeat(target));
    }

    private VirtualTarget anyTarget() {
        return randomElement(List.copyOf(targets.all()));
    }

    private <T> T randomElement(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private void advance(Duration duration) {
        for (long end = time.nanos() + duration.toNanos(); time.nanos() < end; ) {
            time.runFor(STEP);
            operators.recordAcceptedRevisions();
            checks.checkRevisions();
        }
    }
}
