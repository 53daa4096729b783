package org.basilrill.api;

/**
 * Catalogues the log events by number. Numbers are never reused. {@code docs/events.md} lists the same events; a test
 * compares the two.
 */
public enum LogEvent {
    INSTANCE_STARTED(100, "instance started"),
    INSTANCE_DRAINING(101, "instance is draining"),
    INSTANCE_STOPPED(102, "instance stopped"),
    DRAIN_LIMIT_REACHED(103, "drain limit reached with requests still running"),
    INSTANCE_NOT_CURRENT(104, "instance cannot confirm its revision and refuses new work"),
    INSTANCE_CURRENT_AGAIN(105, "instance confirmed its revision again"),
    PEER_CONNECTION_FAILED(120, "connection to another instance failed"),
    MESSAGE_REJECTED(121, "message from another instance could not be decoded"),
    TARGET_EJECTED(400, "target is ejected after failures"),
    TARGET_RESTORED(401, "target is used again after a successful probe"),
    DISPATCH_CALLBACK_FAILED(402, "a callback of a dispatched request failed"),
    INTERNAL_FAILURE(199, "unexpected failure");

    private final int number;
    private final String summary;

    LogEvent(int number, String summary) {
        this.number = number;
        this.summary = summary;
    }

    /** Returns the stable number of the event. */
    public int number() {
        return number;
    }

    /** Returns what happened, in a few words. */
    public String summary() {
        return summary;
    }

    /** Returns the prefix of a log line: the number and the summary. */
    @Override
    public String toString() {
        return "E" + number + " " + summary;
    }
}
