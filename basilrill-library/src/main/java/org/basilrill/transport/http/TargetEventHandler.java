package org.basilrill.transport.http;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Handles the events of one connection to a target. A target may respond before it has read the whole request, and
 * close its connection: the next write then fails, although the whole response has arrived. So a failed write ends the
 * sending only; the reader finds out whether the response is whole. Used only by the thread of the connection.
 */
final class TargetEventHandler extends ClientHttp1IOEventHandler {
    private final BooleanSupplier awaitsResponse;

    /**
     * Creates the handler of a connection.
     *
     * @param awaitsResponse whether an exchange has sent part of its request and has not ended
     */
    TargetEventHandler(TargetDuplexer duplexer, BooleanSupplier awaitsResponse) {
        super(duplexer);
        this.awaitsResponse = awaitsResponse;
    }

    /** Sends the first request of the connection. */
    @Override
    public void connected(IOSession session) throws IOException {
        try {
            super.connected(session);
        } catch (IOException exception) {
            writeFailed(session, exception);
        }
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        try {
            super.outputReady(session);
        } catch (IOException exception) {
            writeFailed(session, exception);
        }
    }

    private void writeFailed(IOSession session, IOException exception) throws IOException {
        if (!awaitsResponse.getAsBoolean()) {
            throw exception;
        }
        session.clearEvent(EventMask.WRITE);
        inputReady(session, null);
    }
}
