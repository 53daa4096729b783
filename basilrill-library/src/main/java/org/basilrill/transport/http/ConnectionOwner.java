package org.basilrill.transport.http;

import java.time.Duration;
import java.util.Optional;
import org.apache.hc.core5.reactor.IOSession;
import org.basilrill.protocol.target.TargetConnector;

/** Owns the connection of an exchange before and after it. Implementations are thread safe. */
interface ConnectionOwner {
    /** Reports that the exchange no longer uses the connection. */
    void ended(TargetExchange exchange, IOSession session);

    /**
     * Receives a connection that can be used again.
     *
     * @param targetKeepAlive time for which the target keeps the connection open, if it states one
     */
    void keep(IOSession session, ConnectionHistory history, Optional<Duration> targetKeepAlive);

    /** Sends the request on a new connection. */
    TargetConnector.Call replace(TargetConnector.Request request, TargetConnector.Listener listener);
}
