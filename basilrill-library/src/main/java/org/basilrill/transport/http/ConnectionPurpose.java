package org.basilrill.transport.http;

/**
 * What a connection carries. A connection is used again only for its purpose, so that a late answer to a request of a
 * caller never passes for a report, nor the reverse.
 */
enum ConnectionPurpose {
    /** Requests of callers to a target. */
    REQUESTS(true, true),
    /** Requests to an instance that carries them to several targets, of which some echo ids and others do not. */
    RELAY(true, false),
    /** Requests for reports of engines. */
    REPORTS(true, false),
    /** Orders to engines. */
    ORDERS(true, false),
    /** One request only. */
    SINGLE(false, false);

    private final boolean reused;
    private final boolean oneTarget;

    ConnectionPurpose(boolean reused, boolean oneTarget) {
        this.reused = reused;
        this.oneTarget = oneTarget;
    }

    /** Returns whether a connection is kept for further requests. */
    boolean isReused() {
        return reused;
    }

    /** Returns whether all responses on a connection come from one target, which echoes ids always or never. */
    boolean hasOneTarget() {
        return oneTarget;
    }
}
