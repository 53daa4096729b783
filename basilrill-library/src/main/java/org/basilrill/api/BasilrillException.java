package org.basilrill.api;

import java.time.Duration;
import java.util.Optional;

/**
 * Reports a failure by its code, the outcome of the request concerned and, where useful, the delay before a retry.
 * Immutable and thread safe.
 */
public final class BasilrillException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final Outcome outcome;
    private final transient Duration retryAfter;

    public BasilrillException(ErrorCode code, String detail) {
        this(code, detail, code.outcome(), null, null);
    }

    public BasilrillException(ErrorCode code, String detail, Throwable cause) {
        this(code, detail, code.outcome(), null, cause);
    }

    private BasilrillException(ErrorCode code, String detail, Outcome outcome, Duration retryAfter, Throwable cause) {
        super(detail, cause);
        this.code = code;
        this.outcome = outcome;
        this.retryAfter = retryAfter;
    }

    /** Returns the same failure with the delay after which a retry may succeed. */
    public BasilrillException withRetryAfter(Duration delay) {
        return new BasilrillException(code, getMessage(), outcome, delay, getCause());
    }

    /** Returns the same failure with the given outcome instead of the default of its code. */
    public BasilrillException withOutcome(Outcome actual) {
        return new BasilrillException(code, getMessage(), actual, retryAfter, getCause());
    }

    /** Returns the code of the failure. */
    public ErrorCode code() {
        return code;
    }

    /** Returns whether the request concerned has run. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the delay after which a retry may succeed, if known. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
