package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.api.VirtualTime;

/** Collects violations of the invariants from the actual state of all targets. Not thread safe. */
final class FuzzOracle {
    /**
     * Time after the loss of a copy during which an unload of the last one is tolerated: the controller relied on a
     * copy that was lost while the order was in transit or before its announcement expired.
     */
    private static final long UNLOAD_TOLERANCE_NANOS = Duration.ofSeconds(5).toNanos();

    private final VirtualTime time;
    private final Random random;
    private final List<FuzzTarget> targets = new ArrayList<>();
    private final Set<ModelId> servedModels = new HashSet<>();
    private final Map<ModelId, Long> lastLossNanos = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int unloads;

    FuzzOracle(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    VirtualTime time() {
        return time;
    }

    Random random() {
        return random;
    }

    List<FuzzTarget> targets() {
        return targets;
    }

    List<String> violations() {
        return violations;
    }

    int unloads() {
        return unloads;
    }

    void addViolation(String description) {
        violations.add(Duration.ofNanos(time.nanos()) + " " + description);
    }

    void modelLoaded(ModelId model) {
        servedModels.add(model);
    }

    /** Records that a fault removed a copy. */
    void copyLost(ModelId model) {
        lastLossNanos.put(model, time.nanos());
        if (!isServed(model)) {
            servedModels.remove(model);
        }
    }

    /** Records that an order unloaded a copy. */
    void copyUnloaded(ModelId model, String target) {
        unloads++;
        boolean tolerated =
                lastLossNanos.containsKey(model) && time.nanos() - lastLossNanos.get(model) < UNLOAD_TOLERANCE_NANOS;
        if (model.adapter().isEmpty() && !tolerated && !isServed(model)) {
            addViolation(target + " unloaded the last copy of " + model);
        }
        if (!isServed(model)) {
            servedModels.remove(model);
        }
    }

    /** Checks that a model that was served is still served, unless a fault or an unload removed its last copy. */
    void checkReachability() {
        servedModels.stream()
                .filter(model -> !isServed(model))
                .forEach(model -> addViolation(model + " is unreachable"));
    }

    boolean isServed(ModelId model) {
        return targets.stream().anyMatch(target -> target.serves(model));
    }
}
