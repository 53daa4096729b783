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
    INTERNAL_FAILURE(199, "unexpected failure"),
    TARGET_LOST(300, "target was lost during a request"),
    CRASH_REPORT_FAILED(301, "loss of a target could not be recorded"),
    ORDER_NOT_RECORDED(302, "outcome of an order could not be recorded"),
    ANSWER_CROSSED(303, "target answered with the id of another request"),
    REQUESTS_CANCELLED(304, "running requests of a withdrawn key were cancelled"),
    HTTP_LISTENING(310, "listening for callers"),
    HTTP_STOPPED(311, "stopped listening for callers"),
    HTTP_CONNECTION_FAILED(312, "connection of a caller or target failed"),
    HTTP_REQUEST_MALFORMED(313, "request is not valid HTTP"),
    ANNOUNCEMENT_REJECTED(314, "announcement of a target could not be decoded"),
    RULES_REPLACED(320, "rules were replaced"),
    OPERATOR_REFUSED(321, "request of an operator was refused");

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
