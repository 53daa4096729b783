package org.basilrill.coordination.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Sends report requests and orders to engines, which carry out an order only in the expected state. Implementations are
 * thread safe and never block.
 */
public interface EngineClient {
    /** Requests the state of an engine; empty if no readable response was received. Never completes exceptionally. */
    CompletableFuture<Optional<EngineReport>> report(TargetAnnouncement engine);

    /** Sends an order; {@code UNKNOWN} if no response was received. Never completes exceptionally. */
    CompletableFuture<EngineOrder.Response> order(TargetAnnouncement engine, EngineOrder order);
}
