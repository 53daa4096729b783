package org.basilrill.protocol.instance;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.coordination.admission.Dispatcher.Destination;

/**
 * Obtains the target of each attempt of one request, and checks again that the request may be sent: it may have been
 * queued for long. One attempt at a time; not thread safe otherwise.
 */
final class RequestDispatch {
    private final RequestServices services;
    private final RequestPlan plan;
    private final CrashGuard crashGuard;
    private final StreamContinuity continuity;
    private CompletableFuture<Assignment> queued = CompletableFuture.completedFuture(null);

    RequestDispatch(RequestServices services, RequestPlan plan, CrashGuard crashGuard, StreamContinuity continuity) {
        this.services = services;
        this.plan = plan;
        this.crashGuard = crashGuard;
        this.continuity = continuity;
    }

    /**
     * Queues the request for its next attempt.
     *
     * @param deadlineNanos time at which the caller is expected to disconnect
     * @param endNanos deadline of the request
     * @return an assignment to which the request may be sent; fails with the reason if there is none
     */
    CompletableFuture<Assignment> next(long deadlineNanos, long endNanos, Set<TargetId> excludedTargets) {
        Destination destination = continuity.destination();
        queued = services.dispatcher()
                .dispatch(plan.dispatchRequest(
                        deadlineNanos, endNanos, crashGuard.excluded(excludedTargets), destination));
        queued.whenComplete((assignment, problem) -> {
            if (problem != null) {
                new ResidencyRefusals(services.metrics()).observe(destination, problem);
            }
        });
        return queued.thenCompose(this::prepare);
    }

    /** Removes the request from the queue. */
    void cancel() {
        queued.cancel(false);
    }

    private CompletableFuture<Assignment> prepare(Assignment assignment) {
        Optional<BasilrillException> refusal = refusal();
        if (refusal.isPresent()) {
            assignment.release(AttemptResult.CANCELLED);
            return CompletableFuture.failedFuture(refusal.get());
        }
        return continuity.prepare(assignment.target()).handle((ready, problem) -> {
            if (problem != null) {
                assignment.release(AttemptResult.CANCELLED);
                throw FailureCauses.of(problem);
            }
            return assignment;
        });
    }

    private Optional<BasilrillException> refusal() {
        // The key may have been withdrawn while the request was queued.
        if (!services.control().isCurrent()) {
            return Optional.of(new BasilrillException(
                    ErrorCode.INSTANCE_NOT_CURRENT, "this instance can no longer confirm its rules"));
        }
        return crashGuard.refusalBeforeAttempt();
    }
}
