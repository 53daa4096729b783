package org.basilrill.protocol.relay;

import org.basilrill.protocol.target.TargetConnector;

/** Sends requests to the relays of other instances. Implementations are thread safe and never block. */
@FunctionalInterface
public interface RelayClient {
    /**
     * Sends a request; the listener receives the events as from a target.
     *
     * @param address IP number and port of the relay
     * @param freshConnection whether the request must not reuse a connection of an earlier request
     */
    TargetConnector.Call open(
            String address,
            TargetConnector.Request request,
            boolean freshConnection,
            TargetConnector.Listener listener);
}
