package org.basilrill.coordination.placement;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.ModelId;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.target.TargetAnnouncement;

/** Sends orders to targets. Implementations are thread safe. */
public interface TargetOrders {
    /**
     * Sends an order, or sends it again under the same id; a target executes an id at most once.
     *
     * @return the outcome, if the target told it; empty if it is still at work; fails if the answer was lost
     */
    CompletableFuture<Optional<OrderOutcome>> send(TargetAnnouncement target, Order order);

    /** Asks what became of an order; empty if the target is still at work or has never seen it. */
    CompletableFuture<Optional<OrderOutcome>> outcome(TargetAnnouncement target, String orderId);

    /** One order with its fencing number. */
    record Order(String orderId, long fencingNumber, OrderKind kind, ModelId model, int version, long bytes) {}
}
