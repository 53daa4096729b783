package org.basilrill.coordination.consensus;

import org.basilrill.api.InstanceId;

/** Sends messages to other replicas. Messages may be lost, delayed, reordered or delivered twice. Never blocks. */
@FunctionalInterface
public interface MessageSender {
    /** Sends one message, without feedback on whether it was delivered. */
    void send(InstanceId recipient, AddressedMessage message);
}
