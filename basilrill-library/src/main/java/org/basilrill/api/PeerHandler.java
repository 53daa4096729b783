package org.basilrill.api;

/** Receives the messages of one subject. Implementations are thread safe and return without blocking. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one message.
     *
     * @throws BasilrillException with {@link ErrorCode#MESSAGE_MALFORMED} if the payload cannot be decoded
     */
    void received(InstanceId sender, byte[] payload);
}
