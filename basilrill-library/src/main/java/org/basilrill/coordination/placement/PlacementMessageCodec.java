package org.basilrill.coordination.placement;

/** Encodes and decodes the messages of the subject PLACEMENT. Implementations are thread safe. */
public interface PlacementMessageCodec {
    /** Returns the encoded message. */
    byte[] encode(PlacementMessage message);

    /**
     * Returns the decoded message.
     *
     * @throws org.basilrill.api.BasilrillException with {@code MESSAGE_MALFORMED} if the payload is not a message
     */
    PlacementMessage decode(byte[] payload);
}
