package org.basilrill.coordination.budget;

import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/** Encodes the messages of the subject BUDGET. Implementations are stateless and thread safe. */
public interface BudgetMessageCodec {
    /** Returns the payload of a message. */
    byte[] encode(BudgetMessage message);

    /**
     * Returns the message of a payload.
     *
     * @throws BasilrillException with {@link ErrorCode#MESSAGE_MALFORMED} if the payload cannot be decoded
     */
    BudgetMessage decode(byte[] payload);
}
