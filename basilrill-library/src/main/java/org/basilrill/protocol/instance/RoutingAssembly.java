package org.basilrill.protocol.instance;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.basilrill.coordination.control.ControlLogClient;
import org.basilrill.coordination.limit.TargetPermits;
import org.basilrill.coordination.routing.RoutingOptions;
import org.basilrill.coordination.routing.RoutingOptions.Prediction;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.target.TargetAnnouncement;

/** Assembles the choice of targets. Immutable and thread safe. */
record RoutingAssembly(InstanceEnvironment environment, ControlLogClient control) {
    /** Returns the router of this instance. */
    TargetRouter router(
            RandomGenerator random, IntSupplier instanceCount, TargetPermits permits, TargetRestrictions restrictions) {
        TargetRouter router = new TargetRouter(
                environment.self(),
                environment.dataCentre(),
                environment.clock(),
                random,
                instanceCount,
                RoutingOptions.defaults()
                        .withPrediction(
                                environment.interfaces().predictiveRouting()
                                        ? Prediction.WHERE_PACE_IS_STATED
                                        : Prediction.OFF),
                permits,
                restrictions);
        router.setEngineMemory(this::memoryTokens);
        return router;
    }

    private long memoryTokens(TargetAnnouncement target) {
        EnginePool pool =
                control.view().rules().enginePools().get(target.service().orElse(""));
        return pool == null ? Long.MAX_VALUE : pool.requestTokens().orElse(Long.MAX_VALUE);
    }
}
