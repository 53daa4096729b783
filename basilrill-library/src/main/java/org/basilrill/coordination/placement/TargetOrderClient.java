package org.basilrill.coordination.placement;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.ModelId;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.target.TargetAnnouncement;

/** Sends orders to targets. Implementations are thread safe. */
public interface TargetOrderClient {
    /**
     * Sends or resends an order; a target executes each order id at most once.
     *
     * @return the outcome; empty if the target still executes the order; fails if the response was lost
     */
    CompletableFuture<Optional<OrderOutcome>> send(TargetAnnouncement target, Order order);

    /** Requests the outcome of an order; empty if the target still executes it or has never received it. */
    CompletableFuture<Optional<OrderOutcome>> outcome(TargetAnnouncement target, String orderId);

    /** One order with its fencing number. */
    record Order(String orderId, long fencingNumber, OrderKind kind, ModelId model, int version, long bytes) {}
}
