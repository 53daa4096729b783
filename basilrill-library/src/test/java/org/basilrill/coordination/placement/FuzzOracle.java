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

/** Collects breaches of the invariants from the true state of all targets. Not thread safe. */
final class FuzzOracle {
    /** An unload may rest on a copy that is lost while its order travels or before its announcement expires. */
    private static final long EXCUSE_NANOS = Duration.ofSeconds(5).toNanos();

    private final VirtualTime time;
    private final Random random;
    private final List<FuzzTarget> targets = new ArrayList<>();
    private final Set<ModelId> reached = new HashSet<>();
    private final Map<ModelId, Long> lostNanos = new HashMap<>();
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

    void violated(String what) {
        violations.add(Duration.ofNanos(time.nanos()) + " " + what);
    }

    void reached(ModelId model) {
        reached.add(model);
    }

    /** A fault took a copy. */
    void lost(ModelId model) {
        lostNanos.put(model, time.nanos());
        if (!isServed(model)) {
            reached.remove(model);
        }
    }

    /** An order took a copy. */
    void unloaded(ModelId model, String target) {
        unloads++;
        boolean excused = lostNanos.containsKey(model) && time.nanos() - lostNanos.get(model) < EXCUSE_NANOS;
        if (model.adapter().isEmpty() && !excused && !isServed(model)) {
            violated(target + " unloaded the last copy of " + model);
        }
        if (!isServed(model)) {
            reached.remove(model);
        }
    }

    /** Checks that no model that was reached is unreachable without a fault or an order that says so. */
    void checkReachability() {
        reached.stream().filter(model -> !isServed(model)).forEach(model -> violated(model + " is unreachable"));
    }

    boolean isServed(ModelId model) {
        return targets.stream().anyMatch(target -> target.serves(model));
    }
}
