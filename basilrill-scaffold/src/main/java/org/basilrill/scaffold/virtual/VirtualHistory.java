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
import org.basilrill.scaffold.virtual.VirtualTarget.Behaviour;
import org.basilrill.state.configuration.KeyHash;

/**
 * One random history of a deployment: callers, operators and targets act while instances crash, lose their data
 * folders and are cut off. Everything follows from the seed. Not thread safe.
 */
public final class VirtualHistory {
    /** Pull interval with lost answers, the lease of a cut-off owner (3 s) and the lifetime of a grant (2 s). */
    private static final Duration RATE_PROPAGATION = Duration.ofMillis(5500);

    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration START = Duration.ofSeconds(3);
    /** An ejected target is probed after 30 s at the latest. */
    private static final Duration RECOVERY = Duration.ofSeconds(35);
    /** The longest deadline, and the margin until an answer that has begun must end. */
    private static final Duration LAST_ANSWERS = Duration.ofSeconds(42);

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
    private final Map<TargetId, InstanceId> homes = new HashMap<>();
    private final Set<Disturbance> disturbances;

    /** What happens besides calls and changes of rules. */
    public enum Disturbance {
        /** Messages between instances are lost, repeated and late. */
        MESSAGES,
        /** Processes crash and restart. */
        CRASHES,
        /** Replicas restart with an empty data folder. */
        WIPES,
        /** Instances lose their links to all other instances, but not to callers and targets. */
        CUTS,
        /** Targets are slow, silent, late, cut answers or crash. */
        TARGETS,
        /** Targets leave and come back. */
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

    /** Runs the history and, after it, a time without faults in which everything must work again. */
    public HistoryChecks run(Duration duration) {
        deployment.start();
        advance(START);
        operators.begin();
        advance(START);
        if (disturbances.contains(Disturbance.MESSAGES)) {
            network.inject(new VirtualNetwork.Faults(0.03, 0.03, 0.01));
        }
        if (disturbances.contains(Disturbance.TARGETS)) {
            targets.all().forEach(target -> target.behave(EnumSet.of(Behaviour.values()[random.nextInt(6)])));
        }
        for (long end = time.nanos() + duration.toNanos(); time.nanos() < end; ) {
            act();
            advance(STEP);
        }
        heal();
        deployment.instances().forEach(id -> {
            checks.mustSucceed(call(id, completion(operators.validKey())));
            checks.mustSucceed(call(id, newOrder(operators.validKey())));
        });
        advance(LAST_ANSWERS);
        callers.forEach(checks::check);
        return checks;
    }

    private void act() {
        if (random.nextInt(3) == 0) {
            callSomething();
        }
        if (random.nextInt(10) == 0) {
            operators.act();
        }
        if (random.nextInt(2) == 0) {
            spend();
        }
        if (random.nextInt(20) == 0) {
            disturb();
        }
        if (!callers.isEmpty() && random.nextInt(100) == 0) {
            callers.get(random.nextInt(callers.size())).hangUp();
        }
    }

    private void disturb() {
        List<Disturbance> possible = List.copyOf(disturbances);
        if (possible.isEmpty()) {
            return;
        }
        InstanceId id = any(deployment.instances());
        switch (possible.get(random.nextInt(possible.size()))) {
            case MESSAGES -> {
                // Happens all the time.
            }
            case CRASHES -> {
                crash(id);
                time.schedule(Duration.ofMillis(random.nextInt(8000)), () -> deployment.restart(id));
            }
            case WIPES -> {
                if (deployment.replicas().contains(id) && deployment.isWhole()) {
                    crash(id);
                    deployment.wipe(id);
                    time.schedule(Duration.ofMillis(random.nextInt(2000)), () -> deployment.restart(id));
                }
            }
            case CUTS -> {
                cut(id, true);
                time.schedule(Duration.ofMillis(random.nextInt(20_000)), () -> cut(id, false));
            }
            case TARGETS -> anyTarget().behave(EnumSet.of(Behaviour.values()[random.nextInt(6)]));
            case LEAVING -> anyTarget().leave();
            default -> throw new IllegalStateException("unknown disturbance");
        }
    }

    private void heal() {
        network.inject(VirtualNetwork.Faults.NONE);
        deployment.instances().forEach(id -> {
            deployment.restart(id);
            cut(id, false);
        });
        targets.all().forEach(target -> target.behave(Set.of()));
        advance(RECOVERY);
    }

    private void crash(InstanceId id) {
        deployment.crash(id);
        checks.crashed(id);
        callers.stream()
                .filter(caller -> caller.instance().equals(id) && !caller.isOver())
                .forEach(VirtualCaller::connectionLost);
    }

    private void cut(InstanceId id, boolean cut) {
        network.cutFromPeers(id, cut);
        checks.cut(id, cut);
    }

    private void callSomething() {
        InstanceId id = any(deployment.instances());
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
            call = repeated(orders.get(orders.size() - 1 - random.nextInt(Math.min(5, orders.size()))));
        }
        call(id, call);
    }

    private VirtualCaller call(InstanceId id, VirtualCaller.Call call) {
        VirtualCaller caller = new VirtualCaller(time, id, call);
        callers.add(caller);
        Instance instance = deployment.running(id).orElseThrow();
        caller.startedAs(
                instance.coordinator().start(call.head(), call.body().getBytes(StandardCharsets.UTF_8), caller));
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

    private VirtualCaller.Call repeated(VirtualCaller.Call order) {
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

    /** Charges the limited account directly, because the time of a charge is not seen from a call. */
    private void spend() {
        InstanceId id = any(deployment.instances());
        deployment.running(id).ifPresent(instance -> {
            long tokens = 1 + random.nextInt(300);
            long deadline = deployment.nanos(id) + CHARGE_DEADLINE.toNanos();
            instance.budgets()
                    .charge(VirtualOperators.LIMITED, tokens, deadline)
                    .thenAccept(charge -> {
                        SpendingOracle.Spending spent = spending.charged(time.nanos(), tokens);
                        if (random.nextInt(4) == 0) {
                            long used = random.nextLong(tokens);
                            time.schedule(Duration.ofMillis(random.nextInt(2000)), () -> {
                                if (deployment
                                        .running(id)
                                        .filter(instance::equals)
                                        .isPresent()) {
                                    spent.used(used);
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
        homes.put(target.id(), any(deployment.instances()));
        announceAndRepeat(target);
    }

    /** Announces a target to one instance, and to another if that one does not run; a target that is gone returns. */
    private void announceAndRepeat(VirtualTarget target) {
        if (!target.isUp() && random.nextInt(6) == 0 || target.isLeaving() && random.nextInt(16) == 0) {
            target.crash();
            target.restart();
        }
        if (target.isUp()) {
            if (deployment.running(homes.get(target.id())).isEmpty()) {
                homes.put(target.id(), any(deployment.instances()));
            }
            deployment
                    .running(homes.get(target.id()))
                    .ifPresent(home -> home.announcements().announced(target.announcement()));
        }
        time.schedule(ANNOUNCEMENT_PERIOD, () -> announceAndRepeat(target));
    }

    private VirtualTarget anyTarget() {
        return any(List.copyOf(targets.all()));
    }

    private <T> T any(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private void advance(Duration duration) {
        for (long end = time.nanos() + duration.toNanos(); time.nanos() < end; ) {
            time.runFor(STEP);
            operators.observe();
            checks.observe();
        }
    }
}
