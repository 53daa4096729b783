package org.basilrill.coordination.limit;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilrill.coordination.engine.EngineClient;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Charges each report request and order to the limit of the engine, because they count toward it like the requests of
 * callers. They do not wait for a permit. Immutable; thread safe if its dependencies are.
 */
public record ChargingEngineClient(EngineClient client, Consumer<TargetAnnouncement> charge) implements EngineClient {
    @Override
    public CompletableFuture<Optional<EngineReport>> report(TargetAnnouncement engine) {
        charge.accept(engine);
        return client.report(engine);
    }

    @Override
    public CompletableFuture<EngineOrder.Response> order(TargetAnnouncement engine, EngineOrder order) {
        charge.accept(engine);
        return client.order(engine, order);
    }
}
