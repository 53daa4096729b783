package org.basilrill.coordination.limit;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilrill.coordination.placement.TargetOrderClient;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Charges each target order and each read of an outcome to the limit of the target, because they count toward it like
 * the requests of callers. They do not wait for a permit. Immutable; thread safe if its dependencies are.
 */
public record ChargingTargetOrderClient(TargetOrderClient client, Consumer<TargetAnnouncement> charge)
        implements TargetOrderClient {
    @Override
    public CompletableFuture<Optional<OrderOutcome>> send(TargetAnnouncement target, Order order) {
        charge.accept(target);
        return client.send(target, order);
    }

    @Override
    public CompletableFuture<Optional<OrderOutcome>> outcome(TargetAnnouncement target, String orderId) {
        charge.accept(target);
        return client.outcome(target, orderId);
    }
}
