package org.basilrill.coordination.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.basilrill.api.ModelId;

/**
 * Tracks the models of which a copy was unloaded recently. Demand that shifts to other models often returns within the
 * duration of a load, and unloading several copies of one model at once leaves all of its requests to the last copy.
 * Not thread safe; guarded by the lock of the controller.
 */
final class RecentUnloads {
    /**
     * About half the duration of a load from the weight store. Copies that are still not needed after this time may be
     * unloaded.
     */
    private static final long RETENTION_NANOS = Duration.ofSeconds(3).toNanos();

    private final Map<ModelId, Long> unloadedNanos = new HashMap<>();

    /** Records that a copy of the model is unloaded. */
    void add(ModelId model, long nowNanos) {
        unloadedNanos.values().removeIf(unloadNanos -> nowNanos - unloadNanos >= RETENTION_NANOS);
        unloadedNanos.put(model, nowNanos);
    }

    /** Returns whether a copy of the model was unloaded so recently that the others should be kept for now. */
    boolean contains(ModelId model, long nowNanos) {
        Long unloadNanos = unloadedNanos.get(model);
        return unloadNanos != null && nowNanos - unloadNanos < RETENTION_NANOS;
    }
}
