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
 * One connection of a caller: what it waits for and since when. Thread safe; guarded by itself.
 */
final class CallerConnection {
    /** Lets a caller read its refusal before the connection ends, which may discard what it has not read. */
    private static final Duration REFUSED_BODY_WAIT = Duration.ofSeconds(1);

    private final IOSession session;
    private final MonotonicClock clock;
    private final GatewaySettings settings;
    private final List<Runnable> releases = new ArrayList<>();
    private long lastInputNanos;
    private long headSinceNanos;
    private boolean headRunning;
    private int openRequests;
    private int openBodies;
    private boolean refusesInput;
    private boolean closing;
    private boolean refusedEarly;

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
    void requestEnded(Runnable exchangeRelease) {
        boolean close;
        synchronized (this) {
            releases.remove(exchangeRelease);
            openRequests--;
            lastInputNanos = clock.nanos();
            close = closing && openRequests == 0;
        }
        if (close) {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
    }

    /**
     * Notes that the caller sends nothing more. With a request open it counts as gone: a caller that closed its
     * connection cannot be told from one that closed its sending side only, and nobody may wait for the answer.
     */
    void callerEnded() {
        boolean waiting;
        synchronized (this) {
            waiting = openRequests > 0;
        }
        if (waiting) {
            close();
        }
    }

    /** Notes an exchange that must be told if the connection ends before its answer does. */
    synchronized void opened(Runnable exchangeRelease) {
        releases.add(exchangeRelease);
    }

    /** Releases the exchanges of an ended connection; the library does not do so for all of them. */
    void releaseAll() {
        List<Runnable> remaining;
        synchronized (this) {
            remaining = List.copyOf(releases);
            releases.clear();
        }
        remaining.forEach(Runnable::run);
    }

    /** Notes that a request was refused before its body ended; what is left of it is waited for only shortly. */
    synchronized void refusedEarly() {
        refusedEarly = true;
    }

    /** Reads nothing more, because the position of the next request is not known. */
    synchronized void refuseInput() {
        refusesInput = true;
    }

    synchronized boolean refusesInput() {
        return refusesInput;
    }

    /** Makes the answers of this connection its last ones, so that its caller goes elsewhere; closes nothing yet. */
    synchronized void lastAnswers() {
        closing = true;
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

    /** Returns whether the next answer must be the last one of the connection. */
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
            Duration bodyWait = refusedEarly ? REFUSED_BODY_WAIT : settings.headerWait();
            boolean bodyLate = openBodies > 0 && silence > bodyWait.toNanos();
            late = headLate || bodyLate;
            idle = openRequests == 0 && silence > settings.idleLimit().toNanos();
        }
        if (late || idle) {
            close();
        }
    }

    /** Ends the connection without a reset, so that what was sent before the cut still reaches the caller. */
    void cut() {
        session.close(CloseMode.GRACEFUL);
        releaseAll();
    }

    /** Closes the connection at once and releases its exchanges. */
    void close() {
        session.close(CloseMode.IMMEDIATE);
        releaseAll();
    }
}
