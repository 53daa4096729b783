package org.basilrill.transport.http;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.reactor.IOSession;
import org.basilrill.api.LogEvent;

/** Bytes of a target that belong to no request in flight. Stateless and thread safe. */
final class StrayBytes {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private StrayBytes() {}

    /** Logs the bytes and returns the exception that closes the connection. */
    static ConnectionClosedException receivedOn(IOSession session) {
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "%s: %s", LogEvent.STRAY_BYTES, session.getRemoteAddress());
        return new ConnectionClosedException("the target sent bytes that belong to no request");
    }
}
