package org.basilrill.coordination.limit;

/** Encodes and decodes messages of the subject TARGET_LIMIT. Implementations are thread safe. */
public interface LimitMessageCodec {
    /** Returns the encoded message. */
    byte[] encode(LimitMessage message);

    /** Decodes a message; throws {@code MESSAGE_MALFORMED} if the payload is invalid. */
    LimitMessage decode(byte[] payload);
}
