package org.basilrill.coordination.engine;

import java.util.List;

/** Limits how many engines load or unload at the same time. Follows the state of the engines; not thread safe. */
record BusyEngines(List<EngineState> engines) {
    /**
     * A last copy is evicted only while at most this share of the engines loads or unloads, so that it can be loaded
     * again at once.
     */
    private static final double LAST_COPY_MAX_BUSY_SHARE = 0.2;
    /**
     * Share of the engines that may load or unload at the same time, so that most models keep their copies meanwhile.
     */
    private static final double MAX_BUSY_SHARE = 0.4;

    /** Returns whether few enough engines are busy for the eviction of the last copy of a model. */
    boolean allowLastCopyEviction() {
        long busy = engines.stream().filter(EngineState::isBusy).count();
        return busy <= Math.max(1, engines.size() * LAST_COPY_MAX_BUSY_SHARE);
    }

    /** Returns whether more engines than the limit load or unload, so that no further copy should be evicted. */
    boolean isLimitReached() {
        long busy = engines.stream()
                .filter(engine -> engine.isBusy() || engine.reservedModel().isPresent())
                .count();
        return busy > Math.max(1, engines.size() * MAX_BUSY_SHARE);
    }
}
