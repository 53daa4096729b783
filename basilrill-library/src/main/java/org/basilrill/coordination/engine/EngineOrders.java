package org.basilrill.coordination.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/** Reaches engines that carry out orders only in an expected state. Implementations are thread safe, never block. */
public interface EngineOrders {
    /** Asks for the state of an engine; empty if no readable answer came. Never fails. */
    CompletableFuture<Optional<EngineReport>> report(TargetAnnouncement engine);

    /** Sends an order; {@code UNKNOWN} if no answer came. Never fails. */
    CompletableFuture<EngineOrder.Answer> order(TargetAnnouncement engine, EngineOrder order);
}
