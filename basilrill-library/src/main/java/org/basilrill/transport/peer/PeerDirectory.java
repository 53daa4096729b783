package org.basilrill.transport.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.basilrill.api.InstanceId;

/** Finds the address of another instance. Implementations are thread safe. */
@FunctionalInterface
public interface PeerDirectory {
    /** Returns the address for messages to the instance, if known. */
    Optional<InetSocketAddress> address(InstanceId instance);
}
