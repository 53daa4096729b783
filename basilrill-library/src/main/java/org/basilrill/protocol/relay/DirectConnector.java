package org.basilrill.protocol.relay;

import java.util.concurrent.CompletableFuture;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.path.TargetPaths;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/** Sends requests over this instance's own paths, and reports what the exchanges show of the paths. Thread safe. */
final class DirectConnector implements TargetConnector {
    private final TargetConnector connector;
    private final TargetPaths paths;
    private final DirectExchangeRegistry registry;
    private final MonotonicClock clock;

    DirectConnector(
            TargetConnector connector, TargetPaths paths, DirectExchangeRegistry registry, MonotonicClock clock) {
        this.connector = connector;
        this.paths = paths;
        this.registry = registry;
        this.clock = clock;
    }

    @Override
    public Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
        DirectExchange exchange = new DirectExchange(target, listener, paths, registry, clock);
        exchange.attach(connector.open(target, request, freshConnection, exchange));
        return exchange;
    }

    @Override
    public CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target) {
        return connector.acceptsConnection(target);
    }

    @Override
    public void discardIdleConnections(TargetAnnouncement target) {
        connector.discardIdleConnections(target);
    }
}
