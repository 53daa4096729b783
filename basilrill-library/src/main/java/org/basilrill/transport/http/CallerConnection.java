package org.basilrill.transport.http;

import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.basilrill.api.MonotonicClock;

/**
 * One connection of a caller: what it waits for and since when. Thread safe; guarded by itself.
 */
final class CallerConnection {
    private final IOSession session;
    private final MonotonicClock clock;
    private final GatewaySettings settings;
    private long lastInputNanos;
    private long headSinceNanos;
    private boolean headRunning;
    private int openRequests;
    private int openBodies;
    private boolean refusesInput;
    private boolean closing;

    CallerConnection(IOSession session, MonotonicClock clock, GatewaySettings settings) {
        this.session = session;
        this.clock = clock;
        this.settings = settings;
        lastInputNanos = clock.nanos();
    }

    synchronized void inputArrived() {
        lastInputNanos = clock.nanos();
    }

    synchronized void headBegan() {
        if (!headRunning) {
            headRunning = true;
            headSinceNanos = clock.nanos();
        }
    }

    /** Notes that a head is complete; the request counts as open from here. */
    synchronized void headEnded() {
        headRunning = false;
        openRequests++;
        openBodies++;
    }

    synchronized void bodyEnded() {
        openBodies--;
    }

    /** Notes that a request and its answer are complete. */
    void requestEnded() {
        boolean close;
        synchronized (this) {
            openRequests--;
            lastInputNanos = clock.nanos();
            close = closing && openRequests == 0;
        }
        if (close) {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /** Reads nothing more, because the position of the next request is not known. */
    synchronized void refuseInput() {
        refusesInput = true;
    }

    synchronized boolean refusesInput() {
        return refusesInput;
    }

    /** Makes the answers of this connection its last ones; closes it now if it is idle. */
    void closeWhenIdle() {
        boolean close;
        synchronized (this) {
            closing = true;
            close = openRequests == 0 && !headRunning;
        }
        if (close) {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /** Tells whether the next answer must be the last one of the connection. */
    synchronized boolean isClosing() {
        return closing || refusesInput;
    }

    /** Closes the connection if it has waited too long for its caller. */
    void sweep() {
        boolean late;
        boolean idle;
        synchronized (this) {
            long now = clock.nanos();
            long silence = now - lastInputNanos;
            boolean headLate =
                    headRunning && now - headSinceNanos > settings.headerWait().toNanos();
            boolean bodyLate = openBodies > 0 && silence > settings.headerWait().toNanos();
            late = headLate || bodyLate;
            idle = openRequests == 0 && silence > settings.idleLimit().toNanos();
        }
        if (late || idle) {
            close();
        }
    }

    void close() {
        session.close(CloseMode.IMMEDIATE);
    }
}
