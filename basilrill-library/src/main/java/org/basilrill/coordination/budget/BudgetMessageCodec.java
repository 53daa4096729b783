package org.basilrill.coordination.budget;

import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/** Encodes and decodes the messages of the subject BUDGET. Implementations are stateless and thread safe. */
public interface BudgetMessageCodec {
    /** Encodes a message as a payload. */
    byte[] encode(BudgetMessage message);

    /**
     * Decodes a payload.
     *
     * @throws BasilrillException with {@link ErrorCode#MESSAGE_MALFORMED} if the payload cannot be decoded
     */
    BudgetMessage decode(byte[] payload);
}
