package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.basilrill.api.InstanceId;
import org.basilrill.protocol.instance.Instance;

/** Checks a simulated history against the invariants of section 1 of the design page. Not thread safe. */
public final class HistoryChecks {
    /** Longest time from the acceptance of a revision until it is in force on all instances; checked every 50 ms. */
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(6);

    /** Time from the acceptance of a revision from which on no request is denied by an earlier one. */
    private static final Duration DENIAL_LIMIT = Duration.ofSeconds(2);

    private static final Duration OBSERVATION_INTERVAL = Duration.ofMillis(50);
    private static final Duration LEAVING_LIMIT = Duration.ofSeconds(2);
    /**
     * An instance that receives nothing from the instance which a target announces itself to suspects that instance
     * after 3 s and removes its targets 2 s later.
     */
    private static final Duration LEAVING_LIMIT_WHILE_ISOLATED = Duration.ofMillis(5500);

    private static final Duration FIRST_BYTE_MARGIN = Duration.ofMillis(1);
    /** A target may pause for 10 s within its response, and recording the outcome of an order may take another 10 s. */
    private static final Duration RESPONSE_END_MARGIN = Duration.ofMillis(20_500);

    private final VirtualTime time;
    private final VirtualInstances deployment;
    private final VirtualTargets targets;
    private final VirtualOperators operators;
    private final SpendingOracle spending;
    private final List<String> violations = new ArrayList<>();
    private final Map<Instance, Long> revisions = new HashMap<>();
    private final Map<InstanceId, Long> connectedSince = new HashMap<>();
    private final List<Isolation> pastIsolations = new ArrayList<>();
    private final Map<InstanceId, Long> isolatedSince = new TreeMap<>();
    private final Set<VirtualCaller> mustSucceed = new HashSet<>();
    private long quorumSince;
    private int succeeded;

    HistoryChecks(
            VirtualTime time,
            VirtualInstances deployment,
            VirtualTargets targets,
            VirtualOperators operators,
            SpendingOracle spending) {
        this.time = time;
        this.deployment = deployment;
        this.targets = targets;
        this.operators = operators;
        this.spending = spending;
    }

    /** Returns the descriptions of all violations; called once, at the end of the history. */
    public List<String> violations() {
        checkExecutions();
        spending.violation().ifPresent(text -> violations.add("rate and burst: " + text));
        operators.history().violation().ifPresent(text -> violations.add("linearizable rules: " + text));
        return List.copyOf(violations);
    }

    /** Returns the number of calls that received a complete successful response. */
    public int succeeded() {
        return succeeded;
    }

    void mustSucceed(VirtualCaller caller) {
        mustSucceed.add(caller);
    }

    void recordCrash(InstanceId id) {
        connectedSince.put(id, time.nanos());
        quorumSince = deployment.replicas().contains(id) ? time.nanos() : quorumSince;
    }

    void recordIsolation(InstanceId id, boolean isolated) {
        connectedSince.put(id, time.nanos());
        if (isolated) {
            isolatedSince.putIfAbsent(id, time.nanos());
        } else {
            Optional.ofNullable(isolatedSince.remove(id))
                    .ifPresent(from -> pastIsolations.add(new Isolation(id, from, time.nanos())));
        }
    }

    /** Checks that the revision in force on each instance never decreases and is recent enough. */
    void checkRevisions() {
        if (!deployment.hasMajority(id -> !isolatedSince.containsKey(id))) {
            quorumSince = time.nanos();
        }
        long required = operators.highestRevisionAcceptedBefore(PROPAGATION_LIMIT.plus(OBSERVATION_INTERVAL));
        for (InstanceId id : deployment.instances()) {
            Optional<Instance> running = deployment.running(id);
            if (running.isEmpty()) {
                connectedSince.put(id, time.nanos());
                continue;
            }
            long current = running.get().control().view().rules().revision();
            long before =
                    Optional.ofNullable(revisions.put(running.get(), current)).orElse(0L);
            if (current < before) {
                violations.add("revisions never decrease: " + id + " went from " + before + " to " + current);
            }
            boolean connected = !isolatedSince.containsKey(id)
                    && exceedsPropagationLimit(connectedSince.getOrDefault(id, 0L))
                    && exceedsPropagationLimit(quorumSince);
            if (connected && current < required) {
                violations.add(String.format(
                        "revisions propagate: %s has %d in force at %d ms, %d was accepted before",
                        id, current, time.nanos() / 1_000_000, required));
            }
        }
    }

    /** Checks that an accepted key is denied by no instance, connected or not. */
    private void checkDenial(VirtualCaller caller) {
        String key = caller.call().key();
        long acceptedBefore =
                caller.startNanos() - DENIAL_LIMIT.plus(OBSERVATION_INTERVAL).toNanos();
        boolean inForce = operators
                .activatedNanos(key)
                .filter(activated -> activated < acceptedBefore)
                .isPresent();
        if (caller.wasDenied() && inForce && operators.revokedNanos(key).isEmpty()) {
            violations.add("denials follow from the newest rules: " + caller);
        }
    }

    /** Checks the response to a call. */
    void check(VirtualCaller caller) {
        caller.violation(VirtualTarget.expectedResponse(caller.call().body()), FIRST_BYTE_MARGIN, RESPONSE_END_MARGIN)
                .ifPresent(text -> violations.add("one complete response: " + text));
        succeeded += caller.succeeded() ? 1 : 0;
        if (mustSucceed.contains(caller) && !caller.succeeded()) {
            violations.add("recovers after faults: " + caller);
        }
        if (caller.reportsNotRun()) {
            targets.executions(execution -> {
                if (execution.requestId().equals(caller.call().requestId())) {
                    violations.add("not_run is true: " + caller + " ran at " + execution.nanos() / 1_000_000 + " ms");
                }
            });
        }
        checkDenial(caller);
        operators
                .revokedNanos(caller.call().key())
                .ifPresent(revoked -> targets.executions(execution -> {
                    boolean afterPropagation = execution.nanos()
                            > revoked
                                    + PROPAGATION_LIMIT
                                            .plus(OBSERVATION_INTERVAL)
                                            .toNanos();
                    if (afterPropagation
                            && execution.requestId().equals(caller.call().requestId())) {
                        violations.add(String.format(
                                "revoked keys: %s ran at %d ms, its key was revoked at %d ms",
                                caller, execution.nanos() / 1_000_000, revoked / 1_000_000));
                    }
                }));
    }

    private void checkExecutions() {
        Map<String, TargetExecution> orders = new HashMap<>();
        targets.executions(execution -> {
            if (execution.body().startsWith("pay")) {
                TargetExecution other = orders.put(execution.body(), execution);
                if (other != null) {
                    violations.add("orders run once: " + other + " and " + execution);
                }
            }
            Duration allowed = overlapsIsolation(execution) ? LEAVING_LIMIT_WHILE_ISOLATED : LEAVING_LIMIT;
            if (execution.leavingNanos() > allowed.toNanos()) {
                violations.add("leaving targets: " + execution + " with isolations " + pastIsolations);
            }
        });
    }

    /** Returns whether any instance was isolated between 2 s before the target began to leave and the execution. */
    private boolean overlapsIsolation(TargetExecution execution) {
        long from = execution.nanos() - execution.leavingNanos() - LEAVING_LIMIT.toNanos();
        return pastIsolations.stream()
                        .anyMatch(isolation -> isolation.from <= execution.nanos() && isolation.to >= from)
                || isolatedSince.values().stream().anyMatch(start -> start <= execution.nanos());
    }

    private boolean exceedsPropagationLimit(long since) {
        return time.nanos() - since > PROPAGATION_LIMIT.toNanos();
    }

    /** Period in which an instance was isolated from all other instances. */
    private record Isolation(InstanceId instance, long from, long to) {}
}
