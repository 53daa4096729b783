package org.basilrill.protocol.dialect;

import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.caller.RequestHead;

/** Format of callers' requests and of the responses to them. Implementations are stateless and thread safe. */
public interface CallerDialect {
    /**
     * Reads the head of a request.
     *
     * @throws BasilrillException with {@code MALFORMED_REQUEST} if it cannot be parsed
     */
    CallRequest read(RequestHead head);

    /** Returns the format of the messages that belong to one request. */
    RequestMessages messages(CallRequest request);

    /** Returns a failure as a response. */
    PlainAnswer refusal(BasilrillException failure);
}
