package org.basilrill.protocol.instance;

/** A request that was handed to the coordinator. Thread safe; no method blocks. */
public interface RunningRequest {
    /** Reports that the caller's connection took bytes of the answer, which lets the target send as many more. */
    void taken(int bytes);

    /** Reports that the caller went away. Has no effect once the request has its final answer. */
    void callerGone();
}
