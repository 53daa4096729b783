package org.basilrill.protocol.instance;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/** Converts the failure of a future to the exception that caused it. Stateless and thread safe. */
final class FailureCauses {
    private FailureCauses() {}

    static BasilrillException of(Throwable problem) {
        Throwable cause = problem instanceof CompletionException ? problem.getCause() : problem;
        if (cause instanceof BasilrillException failure) {
            return failure;
        }
        if (cause instanceof CancellationException) {
            return new BasilrillException(ErrorCode.DEADLINE_EXCEEDED, "the request was removed from the queue");
        }
        return new BasilrillException(ErrorCode.INTERNAL, "unexpected failure", cause);
    }
}
