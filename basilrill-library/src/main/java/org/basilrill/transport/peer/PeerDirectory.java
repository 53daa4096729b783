package org.basilrill.transport.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.basilrill.api.InstanceId;

/** Looks up the addresses of other instances. Implementations are thread safe. */
@FunctionalInterface
public interface PeerDirectory {
    /** Returns the address at which the instance receives messages, if known. */
    Optional<InetSocketAddress> address(InstanceId instance);
}
