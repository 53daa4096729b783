package org.basilrill.transport.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.basilrill.api.MonotonicClock;

/**
 * State of one connection of a caller: its open requests, and the times from which its timeouts run. Thread safe;
 * guarded by its own monitor.
 */
final class CallerConnection {
    /** Lets a caller read the error response to a rejected body; closing the connection may discard unread bytes. */
    private static final Duration REJECTED_BODY_TIMEOUT = Duration.ofSeconds(1);

    private final IOSession session;
    private final MonotonicClock clock;
    private final GatewaySettings settings;
    private final List<Runnable> exchangeReleases = new ArrayList<>();
    private long lastInputNanos;
    private long headStartNanos;
    private boolean headIncomplete;
    private int openRequests;
    private int incompleteBodies;
    private boolean readingStopped;
    private boolean closing;
    private boolean bodyRejected;

    CallerConnection(IOSession session, MonotonicClock clock, GatewaySettings settings) {
        this.session = session;
        this.clock = clock;
        this.settings = settings;
        lastInputNanos = clock.nanos();
    }

    synchronized void inputArrived() {
        lastInputNanos = clock.nanos();
    }

    synchronized void headStarted() {
        if (!headIncomplete) {
            headIncomplete = true;
            headStartNanos = clock.nanos();
        }
    }

    /** Records that a request head is complete. The request is open from now on. */
    synchronized void headCompleted() {
        headIncomplete = false;
        openRequests++;
        incompleteBodies++;
    }

    synchronized void bodyCompleted() {
        incompleteBodies--;
    }

    /** Records that an exchange has ended; closes the connection if it was the last one. */
    void requestCompleted(Runnable exchangeRelease) {
        boolean close;
        synchronized (this) {
            exchangeReleases.remove(exchangeRelease);
            openRequests--;
            lastInputNanos = clock.nanos();
            close = closing && openRequests == 0;
        }
        if (close) {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /**
     * Records the end of the input. Closes the connection if a request is open: a caller that closed its connection
     * cannot be distinguished from one that closed only its sending side, and nobody may be waiting for the response.
     */
    void inputEnded() {
        boolean hasOpenRequests;
        synchronized (this) {
            hasOpenRequests = openRequests > 0;
        }
        if (hasOpenRequests) {
            close();
        }
    }

    /** Registers an exchange, which is released if the connection ends before its response is complete. */
    synchronized void exchangeOpened(Runnable exchangeRelease) {
        exchangeReleases.add(exchangeRelease);
    }

    /** Releases the exchanges of an ended connection; the HTTP library does not release all of them. */
    void releaseExchanges() {
        List<Runnable> remaining;
        synchronized (this) {
            remaining = List.copyOf(exchangeReleases);
            exchangeReleases.clear();
        }
        remaining.forEach(Runnable::run);
    }

    /** Records that a request was rejected before the end of its body. The rest of the body gets a short timeout. */
    synchronized void bodyRejected() {
        bodyRejected = true;
    }

    /** Stops reading requests, because the start of the next request is unknown. */
    synchronized void stopReading() {
        readingStopped = true;
    }

    synchronized boolean readingStopped() {
        return readingStopped;
    }

    /** Closes the connection after its open or next request, so that the caller connects to another instance. */
    synchronized void closeAfterResponses() {
        closing = true;
    }

    /** Closes the connection now if it is idle, or after the responses to its open requests. */
    void closeWhenIdle() {
        boolean close;
        synchronized (this) {
            closing = true;
            close = openRequests == 0 && !headIncomplete;
        }
        if (close) {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /** Returns whether the connection must be closed after the next response. */
    synchronized boolean isClosing() {
        return closing || readingStopped;
    }

    /** Closes the connection if a head or body arrives too slowly, or if it has been idle too long. */
    void closeIfTimedOut() {
        boolean timedOut;
        boolean idle;
        synchronized (this) {
            long now = clock.nanos();
            long inactivity = now - lastInputNanos;
            boolean headTimedOut = headIncomplete
                    && now - headStartNanos > settings.headTimeout().toNanos();
            Duration bodyTimeout = bodyRejected ? REJECTED_BODY_TIMEOUT : settings.headTimeout();
            boolean bodyTimedOut = incompleteBodies > 0 && inactivity > bodyTimeout.toNanos();
            timedOut = headTimedOut || bodyTimedOut;
            idle = openRequests == 0 && inactivity > settings.idleTimeout().toNanos();
        }
        if (timedOut || idle) {
            close();
        }
    }

    /** Closes the connection without a TCP reset, so that bytes already sent still reach the caller. */
    void closeGracefully() {
        session.close(CloseMode.GRACEFUL);
        releaseExchanges();
    }

    /** Closes the connection at once and releases its exchanges. */
    void close() {
        session.close(CloseMode.IMMEDIATE);
        releaseExchanges();
    }
}
