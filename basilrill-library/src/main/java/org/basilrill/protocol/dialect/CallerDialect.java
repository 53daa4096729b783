package org.basilrill.protocol.dialect;

import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.caller.RequestHead;

/** How callers' requests are read and answered. Implementations are stateless and thread safe. */
public interface CallerDialect {
    /**
     * Reads the head of a request.
     *
     * @throws BasilrillException with {@code MALFORMED_REQUEST} if it cannot be understood
     */
    CallRequest read(RequestHead head);

    /** Returns how the messages of a request are written. */
    RequestMessages messages(CallRequest request);

    /** Returns a failure as an answer. */
    PlainAnswer refusal(BasilrillException failure);
}
