package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;

/** Creates the exceptions with which requests fail. Stateless and thread safe. */
final class FailureCauses {
    /** Approximate time until a slot of a full target becomes free, or another instance can carry a request. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private FailureCauses() {}

    /** Returns a failure with its outcome, and with a delay if it passes by itself. */
    static BasilrillException of(ErrorCode code, String detail, boolean mayHaveRun) {
        BasilrillException failure =
                new BasilrillException(code, detail).withOutcome(mayHaveRun ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN);
        boolean passes = code == ErrorCode.TARGET_FULL || code == ErrorCode.NO_PATH;
        return passes ? failure.withRetryAfter(RETRY_DELAY) : failure;
    }

    /** Returns the exception that caused the failure of a future. */
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
