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
import org.basilrill.scaffold.virtual.VirtualTarget.Execution;

/** Checks a history against the invariants of section 1 of the design page. Not thread safe. */
public final class HistoryChecks {
    /** Longest time from the acceptance of a revision until it holds everywhere; observed every 50 ms. */
    private static final Duration PROPAGATION = Duration.ofSeconds(6);

    private static final Duration OBSERVATION = Duration.ofMillis(50);
    private static final Duration LEAVING = Duration.ofSeconds(2);
    /** An instance that does not hear of a target's home suspects it after 3 s and drops its targets 2 s later. */
    private static final Duration LEAVING_WHILE_CUT = Duration.ofMillis(5500);

    private static final Duration FIRST_BYTE_MARGIN = Duration.ofMillis(1);
    /** A target may pause for 10 s within its answer, and recording the outcome of an order may take 10 s. */
    private static final Duration FINAL_MARGIN = Duration.ofMillis(20_500);

    private final VirtualTime time;
    private final VirtualInstances deployment;
    private final VirtualTargets targets;
    private final VirtualOperators operators;
    private final SpendingOracle spending;
    private final List<String> violations = new ArrayList<>();
    private final Map<Instance, Long> revisions = new HashMap<>();
    private final Map<InstanceId, Long> connectedSince = new HashMap<>();
    private final List<Cut> cuts = new ArrayList<>();
    private final Map<InstanceId, Long> open = new TreeMap<>();
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

    /** Returns all that was violated; called once, after the history. */
    public List<String> violations() {
        checkExecutions();
        spending.violation().ifPresent(text -> violations.add("rate and burst: " + text));
        operators.history().violation().ifPresent(text -> violations.add("linearizable rules: " + text));
        return List.copyOf(violations);
    }

    /** Returns the number of calls that were answered completely. */
    public int succeeded() {
        return succeeded;
    }

    void mustSucceed(VirtualCaller caller) {
        mustSucceed.add(caller);
    }

    void crashed(InstanceId id) {
        connectedSince.put(id, time.nanos());
        quorumSince = deployment.replicas().contains(id) ? time.nanos() : quorumSince;
    }

    void cut(InstanceId id, boolean cut) {
        connectedSince.put(id, time.nanos());
        if (cut) {
            open.putIfAbsent(id, time.nanos());
        } else {
            Optional.ofNullable(open.remove(id)).ifPresent(from -> cuts.add(new Cut(id, from, time.nanos())));
        }
    }

    /** Checks the revisions in force. */
    void observe() {
        if (!deployment.hasMajority(id -> !open.containsKey(id))) {
            quorumSince = time.nanos();
        }
        long required = operators.revisionAccepted(PROPAGATION.plus(OBSERVATION));
        for (InstanceId id : deployment.instances()) {
            Optional<Instance> running = deployment.running(id);
            if (running.isEmpty()) {
                connectedSince.put(id, time.nanos());
                continue;
            }
            long held = running.get().control().view().rules().revision();
            long before =
                    Optional.ofNullable(revisions.put(running.get(), held)).orElse(0L);
            if (held < before) {
                violations.add("revisions only grow: " + id + " went from " + before + " to " + held);
            }
            boolean connected =
                    !open.containsKey(id) && isOlder(connectedSince.getOrDefault(id, 0L)) && isOlder(quorumSince);
            if (connected && held < required) {
                violations.add(String.format(
                        "revisions arrive: %s holds %d at %d ms, %d was accepted before",
                        id, held, time.nanos() / 1_000_000, required));
            }
        }
    }

    /** Checks the answer of a call. */
    void check(VirtualCaller caller) {
        caller.violation(VirtualTarget.answerTo(caller.call().body()), FIRST_BYTE_MARGIN, FINAL_MARGIN)
                .ifPresent(text -> violations.add("one whole answer: " + text));
        succeeded += caller.succeeded() ? 1 : 0;
        if (mustSucceed.contains(caller) && !caller.succeeded()) {
            violations.add("recovers after faults: " + caller);
        }
        if (caller.saysNotRun()) {
            targets.executions(execution -> {
                if (execution.requestId().equals(caller.call().requestId())) {
                    violations.add("not_run is true: " + caller + " ran at " + execution.nanos() / 1_000_000 + " ms");
                }
            });
        }
        operators
                .revokedNanos(caller.call().key())
                .ifPresent(revoked -> targets.executions(execution -> {
                    boolean late = execution.nanos()
                            > revoked + PROPAGATION.plus(OBSERVATION).toNanos();
                    if (late && execution.requestId().equals(caller.call().requestId())) {
                        violations.add(String.format(
                                "revoked keys: %s ran at %d ms, its key was revoked at %d ms",
                                caller, execution.nanos() / 1_000_000, revoked / 1_000_000));
                    }
                }));
    }

    private void checkExecutions() {
        Map<String, Execution> orders = new HashMap<>();
        targets.executions(execution -> {
            if (execution.body().startsWith("pay")) {
                Execution other = orders.put(execution.body(), execution);
                if (other != null) {
                    violations.add("orders run once: " + other + " and " + execution);
                }
            }
            Duration allowed = cutBefore(execution) ? LEAVING_WHILE_CUT : LEAVING;
            if (execution.leavingNanos() > allowed.toNanos()) {
                violations.add("leaving targets: " + execution + " with cuts " + cuts);
            }
        });
    }

    /** Returns whether any instance was cut off at some time from shortly before the target began to leave. */
    private boolean cutBefore(Execution execution) {
        long from = execution.nanos() - execution.leavingNanos() - LEAVING.toNanos();
        return cuts.stream().anyMatch(cut -> cut.from <= execution.nanos() && cut.to >= from)
                || open.values().stream().anyMatch(start -> start <= execution.nanos());
    }

    private boolean isOlder(long since) {
        return time.nanos() - since > PROPAGATION.toNanos();
    }

    /** A time in which an instance was cut off. */
    private record Cut(InstanceId instance, long from, long to) {}
}
