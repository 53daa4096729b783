package org.basilrill.protocol.instance;

import java.time.Duration;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.protocol.instance.TargetAttempt.AttemptFailure;

/** Counts the attempts of one request and decides whether another one may follow. Not thread safe. */
final class Retries {
    /**
     * Maximum number of uncounted attempts. An attempt for an adapter that a target refused without running it does not
     * count: the adapter is loading, or was just evicted, and is resident again within tens of milliseconds.
     */
    private static final int MAXIMUM_UNCOUNTED_ATTEMPTS = 5;

    private final RequestServices services;
    private final RequestPlan plan;
    private final long deadlineNanos;
    private int attempts;
    private int uncountedAttempts;
    /** Whether the next attempt was already charged to the retry budget. */
    private boolean retryCharged;

    private boolean stopped;

    Retries(RequestServices services, RequestPlan plan, long deadlineNanos) {
        this.services = services;
        this.plan = plan;
        this.deadlineNanos = deadlineNanos;
    }

    /** Returns the remaining time to the deadline, at least one nanosecond. */
    Duration remainingTime() {
        return Duration.ofNanos(Math.max(1, deadlineNanos - services.clock().nanos()));
    }

    /**
     * Returns when the caller is expected to disconnect if the response has not started, or resumed, by then.
     *
     * @param started whether the caller has received part of the response
     */
    long callerTimeoutNanos(boolean started) {
        long waitStartNanos = started
                ? services.clock().nanos()
                : deadlineNanos - plan.deadline().toNanos();
        return plan.attemptPolicy()
                .callerTimeout()
                .map(callerTimeout -> waitStartNanos + callerTimeout.toNanos())
                .filter(end -> end - deadlineNanos < 0)
                .orElse(deadlineNanos);
    }

    /** Allows no further attempt. */
    void startNone() {
        stopped = true;
    }

    /** Counts a new attempt; returns whether it is the first one. */
    boolean beginAttempt() {
        attempts++;
        return attempts == 1;
    }

    /** Returns whether the request may be sent again; does not check the retry budget. */
    boolean mayRetry(AttemptFailure failure) {
        return !stopped
                && attempts < plan.attemptPolicy().maximumAttempts()
                && (!failure.mayHaveRun() || plan.repeatable())
                && services.clock().nanos() - deadlineNanos < 0;
    }

    /** Returns whether a server error of the target is retried; if so, charges the retry to the retry budget. */
    boolean retriesServerError() {
        retryCharged = plan.attemptPolicy().retriesServerErrors()
                && attempts < plan.attemptPolicy().maximumAttempts()
                && services.retryBudget().tryRetry();
        return retryCharged;
    }

    /** Handles a failed attempt: one that reached no target is not counted, nor is a refusal for a missing adapter. */
    void attemptFailed(AttemptFailure failure) {
        if (failure.code() == ErrorCode.TARGET_UNREACHABLE) {
            attempts--;
            return;
        }
        boolean ranNothing = failure.code() == ErrorCode.TARGET_FULL || failure.code() == ErrorCode.TARGET_MISDIRECTED;
        boolean adapter = plan.destination().model().flatMap(ModelId::adapter).isPresent();
        if (adapter && ranNothing && uncountedAttempts < MAXIMUM_UNCOUNTED_ATTEMPTS) {
            uncountedAttempts++;
            attempts--;
        }
    }

    /** Charges the next attempt to the retry budget unless already done; returns whether the budget allows it. */
    boolean chargeRetryBudget() {
        boolean allowed = retryCharged || services.retryBudget().tryRetry();
        retryCharged = false;
        return allowed;
    }
}
