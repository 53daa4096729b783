package org.basilrill.transport.http;

import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.RunningRequest;
import org.basilrill.protocol.relay.RelayService;

/** Passes the requests of other instances to the relay. Immutable and thread safe. */
record RelayRequestHandler(RelayService relay) implements GatewayRequestHandler {
    @Override
    public void check(RequestHead head) {
        // The relay checks the request once its body is complete.
    }

    @Override
    public void reject(BasilrillException rejection, RequestHead head, CallerStream stream) {
        relay.reject(rejection.getMessage(), stream);
    }

    @Override
    public RunningRequest start(RequestHead head, byte[] body, CallerStream stream) {
        return relay.start(head, body, stream);
    }
}
