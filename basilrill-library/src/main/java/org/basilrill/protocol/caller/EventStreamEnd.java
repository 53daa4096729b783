package org.basilrill.protocol.caller;

/**
 * Decides whether a stream of server-sent events that has ended is whole, as far as its bytes show: at least one event,
 * and none that has not ended with an empty line. Keeps no bytes. Not thread safe.
 */
public final class EventStreamEnd {
    private boolean lineStarted;
    private boolean comment;
    private boolean insideEvent;
    private boolean eventEnded;

    /** Processes the next bytes of the stream. */
    public void add(byte[] bytes) {
        for (byte next : bytes) {
            if (next == '\n') {
                endLine();
            } else if (next != '\r' && !lineStarted) {
                lineStarted = true;
                comment = next == ':';
            }
        }
    }

    /** Returns whether the stream may end after the bytes so far. */
    public boolean mayEnd() {
        return eventEnded && !insideEvent && (!lineStarted || comment);
    }

    private void endLine() {
        if (!lineStarted) {
            eventEnded |= insideEvent;
            insideEvent = false;
        } else if (!comment) {
            insideEvent = true;
        }
        lineStarted = false;
        comment = false;
    }
}
