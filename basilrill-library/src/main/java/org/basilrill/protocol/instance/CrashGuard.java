package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.Scheduler;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.crash.SuspectGuard;
import org.basilrill.protocol.instance.TargetAttempt.AttemptFailure;

/**
 * Keeps one request from crashing further targets: refuses it while what it consists of is blocked, unless it is sent
 * as the only trial, and reports the targets that are lost while they run it. Not thread safe.
 */
final class CrashGuard {
    /** Longest delay of a retry for the crash report; a commit takes a few milliseconds while there is a leader. */
    private static final Duration REPORT_WAIT = Duration.ofMillis(250);

    /** After its connections to so many targets were lost, a request is not sent to another one. */
    private static final int LOST_TARGETS_LIMIT = 2;

    private final RequestServices services;
    private final RequestPlan plan;
    private final Set<TargetId> lostTargets = new HashSet<>();
    private boolean trial;
    private boolean trialRan;

    CrashGuard(RequestServices services, RequestPlan plan) {
        this.services = services;
        this.plan = plan;
    }

    /** Refuses a request that is blocked, unless it may ask for a trial. */
    static void requireNotBlocked(RequestServices services, RequestPlan plan) {
        blockOf(services, plan).filter(found -> !found.isTrialDue()).ifPresent(found -> {
            throw refusal(found);
        });
    }

    /**
     * Completes once it is known whether the request may run; with the reason if it is refused. A request whose trial
     * is due waits for the permission of the control log.
     */
    CompletableFuture<Optional<BasilrillException>> admit() {
        Optional<SuspectGuard.Block> block = blockOf(services, plan);
        if (block.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        SuspectGuard.Block blocked = block.get();
        if (!blocked.isTrialDue()) {
            return CompletableFuture.completedFuture(Optional.of(refusal(blocked)));
        }
        return services.suspects().requestTrial(blocked.suspect()).thenApply(granted -> {
            trial = granted;
            return granted
                    ? Optional.empty()
                    : Optional.of(refusal(blockOf(services, plan).orElse(blocked)));
        });
    }

    /**
     * Returns the targets that an attempt must not be sent to.
     *
     * @param failed targets that have failed the request; a trial goes to the least loaded one of the others
     */
    Set<TargetId> excluded(Set<TargetId> failed) {
        if (!trial || trialRan) {
            return failed;
        }
        Set<TargetId> excluded = new HashSet<>(failed);
        excluded.addAll(services.dispatcher().allButLeastLoaded(plan.destination(), failed));
        return excluded;
    }

    /** Called after each failed attempt: a trial is over once it may have run. */
    void attemptFailed(AttemptFailure failure) {
        trialRan |= failure.mayHaveRun();
    }

    /** Called before each attempt; returns the reason if the request must not be sent because it crashes targets. */
    Optional<BasilrillException> refusalBeforeAttempt() {
        if (trial && !trialRan) {
            return Optional.empty();
        }
        return blockOf(services, plan).map(CrashGuard::refusal);
    }

    /**
     * Handles the loss of the target of an attempt.
     *
     * @return the error code if the request must not be sent again; empty if it may be. If the policy does not require
     *     the result of the report, the request may be sent again without it after a short wait.
     */
    CompletableFuture<Optional<ErrorCode>> targetLost(TargetAttempt attempt, AttemptFailure failure) {
        lostTargets.add(attempt.target().id());
        CompletableFuture<List<SuspectId>> report =
                attempt.lostConnection().reportCrash(services, plan, failure.suspects());
        if (plan.attemptPolicy().confirmsLossBeforeRetry()) {
            return report.handle(
                    (refusing, problem) -> problem == null ? refusalCode(refusing) : Optional.of(failure.code()));
        }
        CompletableFuture<Optional<ErrorCode>> verdict = new CompletableFuture<>();
        Scheduler.Cancellable timer =
                services.scheduler().schedule(REPORT_WAIT, () -> verdict.complete(Optional.empty()));
        report.whenComplete((refusing, problem) -> {
            timer.cancel();
            verdict.complete(problem == null ? refusalCode(refusing) : Optional.empty());
        });
        return verdict;
    }

    private Optional<ErrorCode> refusalCode(List<SuspectId> refusing) {
        return refusing.isEmpty() && lostTargets.size() < LOST_TARGETS_LIMIT
                ? Optional.empty()
                : Optional.of(ErrorCode.CRASH_SUSPECT);
    }

    /** Returns the block by the last view, or one that another instance has announced since. */
    private static Optional<SuspectGuard.Block> blockOf(RequestServices services, RequestPlan plan) {
        Optional<SuspectGuard.Block> known = services.suspects()
                .blockOf(
                        plan.suspects(),
                        () -> !services.dispatcher()
                                .allButLeastLoaded(plan.destination(), Set.of())
                                .isEmpty());
        if (known.isPresent() || !services.blockedRequests().contains(plan.fingerprint())) {
            return known;
        }
        return Optional.of(new SuspectGuard.Block(new RequestFingerprintId(plan.fingerprint()), Optional.empty()));
    }

    private static BasilrillException refusal(SuspectGuard.Block block) {
        String kind = block.suspect() instanceof PromptPartId ? "part of the prompt: " : "request: ";
        BasilrillException refusal = new BasilrillException(
                ErrorCode.CRASH_SUSPECT, "targets crash when they run this " + kind + block.suspect());
        return block.untilTrial()
                .filter(delay -> !delay.isZero())
                .map(refusal::withRetryAfter)
                .orElse(refusal);
    }
}
