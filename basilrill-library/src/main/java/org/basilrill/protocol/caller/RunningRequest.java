package org.basilrill.protocol.caller;

/** A request that was passed to the coordinator. Thread safe; no method blocks. */
public interface RunningRequest {
    /** Reports that bytes of the response were written to the caller's connection; the target may send as many more. */
    void bytesWritten(int bytes);

    /** Reports that the caller disconnected. Has no effect once the final response was sent. */
    void callerDisconnected();
}
