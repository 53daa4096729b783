package org.basilrill.api;

/**
 * Sends messages to other instances. Messages may be lost, delayed, reordered or delivered twice. Implementations are
 * thread safe and never block.
 */
@FunctionalInterface
public interface PeerChannel {
    /**
     * Sends one message, without confirmation of its delivery.
     *
     * @param payload the encoded message; not modified by either side afterwards
     */
    void send(InstanceId recipient, PeerSubject subject, byte[] payload);
}
