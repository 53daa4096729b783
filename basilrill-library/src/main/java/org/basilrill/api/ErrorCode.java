package org.basilrill.api;

/** Enumerates every failure the system reports, with its HTTP status and the outcome it implies by default. */
public enum ErrorCode {
    INVALID_NAME(400, Outcome.NOT_RUN),
    MALFORMED_REQUEST(400, Outcome.NOT_RUN),
    REQUEST_TOO_LARGE(413, Outcome.NOT_RUN),
    HEADERS_TOO_LARGE(431, Outcome.NOT_RUN),
    KEY_MISSING(401, Outcome.NOT_RUN),
    KEY_UNKNOWN(401, Outcome.NOT_RUN),
    KEY_WITHDRAWN(401, Outcome.MAY_HAVE_RUN),
    REQUEST_REFUSED(400, Outcome.NOT_RUN),
    FORBIDDEN(403, Outcome.NOT_RUN),
    NOT_FOUND(404, Outcome.NOT_RUN),
    METHOD_NOT_ALLOWED(405, Outcome.NOT_RUN),
    UNKNOWN_MODEL(404, Outcome.NOT_RUN),
    MODEL_NOT_READY(503, Outcome.NOT_RUN),
    RATE_EXCEEDED(429, Outcome.NOT_RUN),
    EXCEEDS_BURST(400, Outcome.NOT_RUN),
    BUDGET_UNAVAILABLE(503, Outcome.NOT_RUN),
    QUEUE_FULL(503, Outcome.NOT_RUN),
    DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN),
    DEADLINE_EXCEEDED(504, Outcome.NOT_RUN),
    NO_TARGET(503, Outcome.NOT_RUN),
    TARGET_UNREACHABLE(503, Outcome.NOT_RUN),
    NO_PATH(503, Outcome.NOT_RUN),
    TARGET_FULL(503, Outcome.NOT_RUN),
    TARGET_MISDIRECTED(503, Outcome.NOT_RUN),
    TARGET_FAILED(502, Outcome.MAY_HAVE_RUN),
    TARGET_TIMEOUT(504, Outcome.MAY_HAVE_RUN),
    ANSWER_MISMATCH(502, Outcome.MAY_HAVE_RUN),
    STREAM_CUT(502, Outcome.MAY_HAVE_RUN),
    STREAM_VERSION_UNKNOWN(409, Outcome.NOT_RUN),
    CRASH_SUSPECT(422, Outcome.NOT_RUN),
    ORDER_RUNNING(409, Outcome.MAY_HAVE_RUN),
    ORDER_OUTCOME_UNKNOWN(409, Outcome.MAY_HAVE_RUN),
    ORDER_MISMATCH(422, Outcome.NOT_RUN),
    ORDER_ANSWER_NOT_KEPT(410, Outcome.RAN),
    INSTANCE_NOT_CURRENT(503, Outcome.NOT_RUN),
    INSTANCE_NAME_IN_USE(409, Outcome.NOT_RUN),
    INSTANCE_OVERLOADED(503, Outcome.NOT_RUN),
    INSTANCE_DRAINING(503, Outcome.NOT_RUN),
    CONTROL_UNAVAILABLE(503, Outcome.NOT_RUN),
    REVISION_CONFLICT(409, Outcome.NOT_RUN),
    RULES_INVALID(400, Outcome.NOT_RUN),
    SETTINGS_INVALID(400, Outcome.NOT_RUN),
    ADDRESS_IN_USE(500, Outcome.NOT_RUN),
    FILE_UNREADABLE(500, Outcome.NOT_RUN),
    LOG_CORRUPT(500, Outcome.NOT_RUN),
    DISK_FAILED(500, Outcome.NOT_RUN),
    NOT_LEADER(503, Outcome.NOT_RUN),
    MEMORY_EXCEEDED(409, Outcome.NOT_RUN),
    TARGET_ORDER_OUTSTANDING(409, Outcome.NOT_RUN),
    MESSAGE_MALFORMED(500, Outcome.NOT_RUN),
    INTERNAL(500, Outcome.MAY_HAVE_RUN);

    private final int httpStatus;
    private final Outcome outcome;

    ErrorCode(int httpStatus, Outcome outcome) {
        this.httpStatus = httpStatus;
        this.outcome = outcome;
    }

    /** Returns the HTTP status of a response that reports this failure. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the outcome this failure implies unless the exception states another. */
    public Outcome outcome() {
        return outcome;
    }
}
