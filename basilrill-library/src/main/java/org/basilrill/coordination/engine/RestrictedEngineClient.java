package org.basilrill.coordination.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Sends nothing to an engine that wants no request from this instance for a while. A report is missing then, and an
 * order counts as one that the engine did not accept. Requests no report from an engine in an evacuated data centre;
 * orders are not requests. Immutable; thread safe if its dependencies are.
 */
public record RestrictedEngineClient(EngineClient client, TargetRestrictions restrictions) implements EngineClient {
    @Override
    public CompletableFuture<Optional<EngineReport>> report(TargetAnnouncement engine) {
        return restrictions.isEvacuated(engine)
                        || restrictions.remainingPause(engine).isPresent()
                ? CompletableFuture.completedFuture(Optional.empty())
                : client.report(engine);
    }

    @Override
    public CompletableFuture<EngineOrder.Response> order(TargetAnnouncement engine, EngineOrder order) {
        return restrictions.remainingPause(engine).isPresent()
                ? CompletableFuture.completedFuture(EngineOrder.Response.CONFLICT)
                : client.order(engine, order);
    }
}
