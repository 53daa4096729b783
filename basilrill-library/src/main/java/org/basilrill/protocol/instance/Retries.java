package org.basilrill.protocol.instance;

import java.time.Duration;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.protocol.instance.TargetAttempt.AttemptFailure;

/** Counts the attempts of one request and decides whether another one may follow. Not thread safe. */
final class Retries {
    /**
     * Attempts for an adapter that a target refused without running anything, and that do not count: the adapter is on
     * its way there, or was just unloaded, and is at hand again within some tens of milliseconds.
     */
    private static final int MAXIMUM_UNCOUNTED = 5;

    private final RequestServices services;
    private final RequestPlan plan;
    private final long deadlineNanos;
    private int attempts;
    private int uncounted;
    /** Whether the retry budget has already paid for the next attempt. */
    private boolean granted;

    Retries(RequestServices services, RequestPlan plan, long deadlineNanos) {
        this.services = services;
        this.plan = plan;
        this.deadlineNanos = deadlineNanos;
    }

    /** Returns the time to the deadline, at least a nanosecond. */
    Duration timeLeft() {
        return Duration.ofNanos(Math.max(1, deadlineNanos - services.clock().nanos()));
    }

    /**
     * Returns when the caller probably leaves if the answer has not begun, or does not go on, by then.
     *
     * @param begun whether the caller has received part of the answer
     */
    long patienceEndsNanos(boolean begun) {
        long waitsSince = begun
                ? services.clock().nanos()
                : deadlineNanos - plan.deadline().toNanos();
        return plan.attempts()
                .patience()
                .map(patience -> waitsSince + patience.toNanos())
                .filter(end -> end - deadlineNanos < 0)
                .orElse(deadlineNanos);
    }

    /** Notes that an attempt begins; returns whether it is the first one. */
    boolean attemptBegins() {
        attempts++;
        return attempts == 1;
    }

    /** Returns whether the request may be sent once more, apart from the retry budget. */
    boolean mayRepeat(AttemptFailure failure) {
        return attempts < plan.attempts().maximumAttempts()
                && (!failure.mayHaveRun() || plan.repeatable())
                && services.clock().nanos() - deadlineNanos < 0;
    }

    /** Returns whether a failure that the target answered is replaced by another attempt, and pays for it. */
    boolean replacesServerError() {
        granted = plan.attempts().repeatsServerErrors()
                && attempts < plan.attempts().maximumAttempts()
                && services.retryBudget().tryRetry();
        return granted;
    }

    /** Notes how an attempt failed: one that reached no target does not count, nor some that ran nothing. */
    void attemptFailed(AttemptFailure failure) {
        if (failure.code() == ErrorCode.TARGET_UNREACHABLE) {
            attempts--;
            return;
        }
        boolean ranNothing = failure.code() == ErrorCode.TARGET_FULL || failure.code() == ErrorCode.TARGET_MISDIRECTED;
        boolean adapter = plan.destination().model().flatMap(ModelId::adapter).isPresent();
        if (adapter && ranNothing && uncounted < MAXIMUM_UNCOUNTED) {
            uncounted++;
            attempts--;
        }
    }

    /** Pays for the next attempt; returns whether the retry budget allows it. */
    boolean pay() {
        boolean paid = granted || services.retryBudget().tryRetry();
        granted = false;
        return paid;
    }
}
