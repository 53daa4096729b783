package org.basilrill.coordination.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.basilrill.api.ModelId;

/**
 * Remembers which models gave a copy up lately. Demand that moves away often comes back within the time of a load, and
 * several copies of one model that make way at once leave its last one with all of its requests. Not thread safe;
 * guarded by the controller.
 */
final class RecentUnloads {
    /** About half the time of a load from the weight store: copies that follow are those that are still not needed. */
    private static final long PAUSE_NANOS = Duration.ofSeconds(3).toNanos();

    private final Map<ModelId, Long> unloadedNanos = new HashMap<>();

    /** Notes that a copy of the model makes way. */
    void note(ModelId model, long nowNanos) {
        unloadedNanos.values().removeIf(then -> nowNanos - then >= PAUSE_NANOS);
        unloadedNanos.put(model, nowNanos);
    }

    /** Returns whether the model has given a copy up so lately that it keeps the others for now. */
    boolean contains(ModelId model, long nowNanos) {
        Long then = unloadedNanos.get(model);
        return then != null && nowNanos - then < PAUSE_NANOS;
    }
}
