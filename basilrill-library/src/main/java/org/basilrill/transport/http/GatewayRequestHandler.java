package org.basilrill.transport.http;

import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.RunningRequest;

/** Handles the requests to one address of the gateway. Implementations are thread safe and never block. */
interface GatewayRequestHandler {
    /** Checks a request before its body is read; throws a {@link BasilrillException} if it is rejected. */
    void check(RequestHead head);

    /** Sends the response to a request that was not started. */
    void reject(BasilrillException rejection, RequestHead head, CallerStream stream);

    /** Starts a request. */
    RunningRequest start(RequestHead head, byte[] body, CallerStream stream);
}
