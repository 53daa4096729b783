package org.basilrill.coordination.engine;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.basilrill.api.LogEvent;
import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.EnginePool;

/** Logs each change of the models in demand that no engine of a pool serves. Not thread safe. */
final class UnservedModelLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Map<String, List<ModelId>> unservedByPool = new HashMap<>();

    /** Logs the models if they differ from those of the last decision for the pool. */
    void observe(EnginePool pool, Collection<EngineState> engines, List<ModelId> unserved) {
        List<ModelId> previous = unservedByPool.getOrDefault(pool.service(), List.of());
        if (previous.equals(unserved)) {
            return;
        }
        unservedByPool.put(pool.service(), unserved);
        long busy = engines.stream().filter(EngineState::isBusy).count();
        long refusing = engines.stream().filter(EngineState::refusesConnections).count();
        LOGGER.atInfo().log(
                "%s: pool %s, models %s, %d of %d engines load or unload, %d refuse connections",
                LogEvent.MODELS_UNSERVED, pool.service(), unserved, busy, engines.size(), refusing);
    }
}
