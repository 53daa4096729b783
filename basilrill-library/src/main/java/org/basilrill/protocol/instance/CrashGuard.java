package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.instance.TargetAttempt.AttemptFailure;
import org.basilrill.state.control.ControlResult;

/** Keeps one request from crashing further targets. Not thread safe. */
final class CrashGuard {
    /** Longest delay of a retry for the crash report; a commit takes a few milliseconds while there is a leader. */
    private static final Duration REPORT_WAIT = Duration.ofMillis(250);

    private final RequestServices services;
    private final RequestPlan plan;
    private boolean trial;

    /**
     * Creates the guard of a request.
     *
     * @param trial whether the first attempt may run although a part of the prompt is blocked
     */
    CrashGuard(RequestServices services, RequestPlan plan, boolean trial) {
        this.services = services;
        this.plan = plan;
        this.trial = trial;
    }

    /** Called before each attempt; returns the reason if the request must not be sent because it crashes targets. */
    Optional<String> refusalBeforeAttempt() {
        if (services.blockedRequests().contains(plan.fingerprint())) {
            return Optional.of(CrashReports.SUSPECT_DETAIL);
        }
        boolean permitted = trial;
        trial = false;
        return permitted
                ? Optional.empty()
                : services.promptParts()
                        .blockedAmong(plan.sharedParts())
                        .map(part -> CrashReports.BLOCKED_PART_DETAIL + part);
    }

    /**
     * Reports the loss of the target of an attempt.
     *
     * @return the error code if the request must not be sent again; empty if it may be. If the policy does not require
     *     the result of the report, the request may be sent again without it after a short wait.
     */
    CompletableFuture<Optional<ErrorCode>> targetLost(TargetAttempt attempt, AttemptFailure failure) {
        CompletableFuture<ControlResult> report =
                CrashReports.report(services, plan, attempt.target(), attempt.timeSinceSent(), failure.suspectParts());
        if (plan.attemptPolicy().confirmsLossBeforeRetry()) {
            return report.handle((result, problem) -> CrashReports.refusalCode(result, failure.code()));
        }
        CompletableFuture<Optional<ErrorCode>> verdict = new CompletableFuture<>();
        Scheduler.Cancellable timer =
                services.scheduler().schedule(REPORT_WAIT, () -> verdict.complete(Optional.empty()));
        report.whenComplete((result, problem) -> {
            timer.cancel();
            verdict.complete(problem == null ? CrashReports.refusalCode(result, failure.code()) : Optional.empty());
        });
        return verdict;
    }
}
