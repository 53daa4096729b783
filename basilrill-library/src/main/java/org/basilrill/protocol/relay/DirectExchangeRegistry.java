package org.basilrill.protocol.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.path.DirectExchanges;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/** The exchanges that run over this instance's own paths. Thread safe. */
final class DirectExchangeRegistry implements DirectExchanges {
    private final TargetConnector connector;
    private final Set<DirectExchange> exchanges = ConcurrentHashMap.newKeySet();

    /** Creates an empty registry of the exchanges of a connector. */
    DirectExchangeRegistry(TargetConnector connector) {
        this.connector = connector;
    }

    void add(DirectExchange exchange) {
        exchanges.add(exchange);
    }

    void remove(DirectExchange exchange) {
        exchanges.remove(exchange);
    }

    @Override
    public Collection<TargetId> waitingFor(Duration silence) {
        return exchanges.stream()
                .filter(exchange -> exchange.isWaitingFor(silence))
                .map(exchange -> exchange.target().id())
                .collect(Collectors.toSet());
    }

    @Override
    public void pathLost(TargetAnnouncement target, boolean unresponsive) {
        connector.discardIdleConnections(target);
        if (!unresponsive) {
            return;
        }
        exchanges.stream()
                .filter(exchange -> exchange.target().id().equals(target.id()))
                .forEach(DirectExchange::pathLost);
    }
}
