package org.basilrill.transport.threads;

/** Failure of a replica from which only a new process recovers. Ends the process; see {@link FatalErrorHandler}. */
final class ReplicaError extends Error {
    private static final long serialVersionUID = 1L;

    ReplicaError(String message, Throwable cause) {
        super(message, cause);
    }
}
