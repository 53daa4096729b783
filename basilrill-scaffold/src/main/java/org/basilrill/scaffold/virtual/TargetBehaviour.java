package org.basilrill.scaffold.virtual;

/** Faults, each of which affects one request in ten; without a fault the response starts after 5 to 50 ms. */
public enum TargetBehaviour {
    /** Responds after 1 to 3 s. */
    SLOW,
    /** Never responds. */
    UNRESPONSIVE,
    /** Responds after 10 to 14 s, when the request has timed out at the instance. */
    LATE,
    /** Closes the connection before the end of the response. */
    CUT,
    /** Sends the response to another request. */
    WRONG_RESPONSE,
    /** Crashes and closes all connections. */
    CRASH
}
