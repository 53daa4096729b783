package org.basilrill.protocol.instance;

import io.opentelemetry.api.trace.Span;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.caller.RunningRequest;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.RecordedResponse;

/**
 * The life cycle of one request: claim, charge, dispatch, attempts at targets, final response, settlement.
 * Its caller receives exactly one final response. An order that may have been sent to a target continues after its
 * caller received a failure, so that its outcome is recorded. Thread safe: all events run one at a time.
 */
final class RequestExchange implements RunningRequest, TargetAttempt.Owner {
    private final RequestServices services;
    private final RequestMetrics metrics;
    private final RequestPlan plan;
    private final ResponseRelay relay;
    private final Function<BasilrillException, PlainResponse> errorResponses;
    private final Consumer<RequestExchange> closedListener;
    private final Optional<OrderClaim> claim;
    private final Span span;
    private final SerialExecutor executor =
            new SerialExecutor(() -> failWith(ErrorCode.INTERNAL, "unexpected failure"));
    private final StreamContinuity continuity;
    private final ExcludedTargets excludedTargets;
    private final long startNanos;
    private final long deadlineNanos;
    private final Retries retries;
    private final CrashGuard crashGuard;
    private final RequestTokens tokens;
    private final RequestDispatch dispatch;

    private Scheduler.Cancellable deadlineTimer = () -> {};
    private Optional<TargetAttempt> attempt = Optional.empty();
    private boolean mayHaveRun;
    private boolean recordingOutcome;
    private boolean closed;

    RequestExchange(
            RequestServices services,
            RequestMetrics metrics,
            RequestPlan plan,
            CallerStream caller,
            Function<BasilrillException, PlainResponse> errorResponses,
            Consumer<RequestExchange> closedListener) {
        this.services = services;
        this.metrics = metrics;
        this.plan = plan;
        this.errorResponses = errorResponses;
        this.closedListener = closedListener;
        relay = new ResponseRelay(caller, plan, new RequestDecisionLog(plan, services.clock(), metrics));
        claim = plan.order().map(order -> new OrderClaim(services, order));
        span = services.tracing().startRequest(plan);
        startNanos = services.clock().nanos();
        deadlineNanos = startNanos + plan.deadline().toNanos();
        continuity = new StreamContinuity(services, plan);
        excludedTargets = new ExcludedTargets(services.dispatcher(), continuity::destination);
        retries = new Retries(services, plan, deadlineNanos);
        tokens = new RequestTokens(services, metrics, plan);
        crashGuard = new CrashGuard(services, plan);
        dispatch = new RequestDispatch(services, plan, crashGuard, continuity);
    }

    /** Starts the life cycle. */
    void begin() {
        execute(() -> {
            metrics.started();
            services.retryBudget().requestStarted();
            deadlineTimer = services.scheduler().schedule(plan.deadline(), () -> execute(this::deadlinePassed));
            executeAfter(crashGuard.admit(), refusal -> {
                if (!closed) {
                    refusal.ifPresentOrElse(
                            this::failRequest, () -> claim.ifPresentOrElse(this::claimOrder, this::chargeTokens));
                }
            });
        });
    }

    @Override
    public void bytesWritten(int bytes) {
        execute(() -> {
            relay.bytesWritten(bytes);
            attempt.ifPresent(running -> running.extendWindow(bytes));
        });
    }

    @Override
    public void callerDisconnected() {
        execute(() -> {
            if (!relay.finished()) {
                relay.abandon();
                closeUnlessOrderRuns();
            }
        });
    }

    /** Handles the withdrawal of the request's key; returns whether the key is no longer valid. */
    boolean viewChanged(ControlView view) {
        boolean withdrawn = plan.keyHash()
                .filter(key -> !view.rules().accountOf(key).equals(plan.account()))
                .isPresent();
        if (withdrawn) {
            execute(this::keyWithdrawn);
        }
        return withdrawn;
    }

    private void keyWithdrawn() {
        if (plan.attemptPolicy().endsOnKeyWithdrawal() || attempt.isEmpty()) {
            failWith(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn while the request ran");
        }
    }

    /** Refuses the request unless it is at a target now, and starts no further attempt. */
    void startNoAttempt() {
        execute(() -> {
            retries.startNone();
            if (attempt.isEmpty() && !recordingOutcome) {
                stop();
            }
        });
    }

    /** Fails the request because the instance is stopping. */
    void stop() {
        execute(() -> failWith(ErrorCode.INSTANCE_DRAINING, "the instance stopped before the request was complete"));
    }

    @Override
    public void headReceived(ResponseHead head) {
        relay.headReceived(head);
    }

    @Override
    public void bodyReceived(byte[] bytes) {
        attempt.ifPresent(continuity::bodyReceived);
        boolean beforeBody = !relay.started();
        if (!relay.writeBody(bytes)) {
            attempt.ifPresent(running -> running.extendWindow(bytes.length));
        }
        if (beforeBody && relay.started()) {
            attempt.map(TargetAttempt::target).ifPresent(continuity::responseStarted);
            responseStarted();
        }
    }

    @Override
    public void responseCompleted() {
        attempt = Optional.empty();
        if (!relay.started()) {
            responseStarted();
        }
        if (claim.isEmpty()) {
            relay.complete();
            close(Outcome.RAN);
            return;
        }
        // The end is sent only once the response is recorded, so that a caller that received it can request a replay.
        recordingOutcome = true;
        executeAfter(claim.get().finish(Outcome.RAN, relay.recorded()), done -> {
            relay.complete();
            close(Outcome.RAN);
        });
    }

    @Override
    public void attemptFailed(TargetAttempt.AttemptFailure failure) {
        TargetAttempt failed = attempt.orElseThrow();
        attempt = Optional.empty();
        retries.attemptFailed(failure);
        crashGuard.attemptFailed(failure);
        excludedTargets.attemptFailed(failed.target().id(), failure);
        mayHaveRun |= failure.mayHaveRun();
        if (!failure.targetLost()) {
            retryOrFail(failure);
            return;
        }
        CompletableFuture<Optional<ErrorCode>> verdict = crashGuard.targetLost(failed, failure);
        if (!mayRetry(failure)) {
            retryOrFail(failure);
            return;
        }
        // A retry could crash another target, so it waits for the number of targets that this request has crashed.
        executeAfter(verdict, refusal -> {
            if (!closed) {
                refusal.ifPresentOrElse(code -> failWith(code, failure.detail()), () -> retryOrFail(failure));
            }
        });
    }

    @Override
    public ResponseRelay relay() {
        return relay;
    }

    @Override
    public boolean shouldRetryServerError() {
        return attempt.filter(running ->
                                excludedTargets.hasOtherThan(running.target().id()))
                        .isPresent()
                && retries.retriesServerError();
    }

    @Override
    public void callerStalled() {
        callerDisconnected();
    }

    private void claimOrder(OrderClaim order) {
        if (services.control().sessionId() == 0) {
            failWith(ErrorCode.CONTROL_UNAVAILABLE, "this instance has no session with the control log");
            return;
        }
        order.claim(retries.remainingTime())
                .whenComplete((result, problem) -> execute(() -> {
                    if (closed) {
                        return;
                    }
                    if (problem != null) {
                        failRequest(FailureCauses.of(problem).withOutcome(Outcome.NOT_RUN));
                    } else if (result instanceof ControlResult.OrderGranted) {
                        chargeTokens();
                    } else {
                        respondFromClaim(result);
                    }
                }));
    }

    /** Responds to an order whose claim was not granted; records nothing because another attempt holds the claim. */
    private void respondFromClaim(ControlResult result) {
        if (result instanceof ControlResult.OrderFinished finished
                && finished.response().filter(RecordedResponse::complete).isPresent()) {
            relay.replay(finished.response().get());
        } else {
            sendFailure(OrderRefusals.of(result, services.limits()));
        }
        close(Outcome.NOT_RUN);
    }

    private void chargeTokens() {
        if (!tokens.needed()) {
            findStream();
            return;
        }
        tokens.request(deadlineNanos)
                .whenComplete((charged, problem) -> execute(() -> {
                    if (closed) {
                        Optional.ofNullable(charged).ifPresent(unneeded -> unneeded.settle(0));
                    } else if (problem != null) {
                        failRequest(FailureCauses.of(problem));
                    } else {
                        tokens.charged(charged);
                        relay.decisionLog().addStep("tokens charged");
                        findStream();
                    }
                }));
    }

    private void findStream() {
        continuity
                .findStream()
                .whenComplete((found, problem) -> execute(() -> {
                    if (!closed && problem != null) {
                        failRequest(FailureCauses.of(problem));
                    } else if (!closed) {
                        dispatch();
                    }
                }));
    }

    private void dispatch() {
        dispatch.next(retries.callerTimeoutNanos(relay.started()), deadlineNanos, excludedTargets.excluded())
                .whenComplete((assignment, problem) -> execute(() -> {
                    if (closed) {
                        Optional.ofNullable(assignment)
                                .ifPresent(unneeded -> unneeded.release(AttemptResult.CANCELLED));
                    } else if (problem != null) {
                        failRequest(FailureCauses.of(problem));
                    } else {
                        startAttempt(assignment);
                    }
                }));
    }

    private void startAttempt(Assignment assignment) {
        boolean first = retries.beginAttempt();
        TargetAttempt next = new TargetAttempt(services, plan, assignment, this, executor, span, deadlineNanos);
        attempt = Optional.of(next);
        next.open(claim.isPresent() || !first);
    }

    private void retryOrFail(TargetAttempt.AttemptFailure failure) {
        if (relay.started() && !relay.isResumable()) {
            failWith(ErrorCode.STREAM_CUT, "the response was cut: " + failure.detail());
            return;
        }
        if (!mayRetry(failure) || !retries.chargeRetryBudget()) {
            failWith(failure.code(), failure.detail());
            return;
        }
        metrics.retried();
        relay.reset();
        dispatch();
    }

    private boolean mayRetry(TargetAttempt.AttemptFailure failure) {
        return (!relay.started() || relay.isResumable()) && !relay.finished() && retries.mayRetry(failure);
    }

    private void responseStarted() {
        if (!plan.attemptPolicy().deadlineCoversWholeResponse()) {
            deadlineTimer.cancel();
        }
        metrics.firstByte(plan.destination(), services.clock().nanos() - startNanos);
    }

    private void deadlinePassed() {
        if (!relay.started() || plan.attemptPolicy().deadlineCoversWholeResponse()) {
            failWith(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "no response within " + plan.deadline().toMillis() + " ms");
        }
    }

    /** Fails the request; the outcome follows from whether bytes may have been sent to a target. */
    private void failWith(ErrorCode code, String detail) {
        revokePermit();
        failRequest(FailureCauses.of(code, detail, mayHaveRun));
    }

    private void failRequest(BasilrillException failure) {
        if (recordingOutcome) {
            return;
        }
        revokePermit();
        boolean understated = mayHaveRun && failure.outcome() == Outcome.NOT_RUN;
        sendFailure(understated ? failure.withOutcome(Outcome.MAY_HAVE_RUN) : failure);
        closeUnlessOrderRuns();
    }

    private void sendFailure(BasilrillException failure) {
        if (!relay.finished()) {
            metrics.failed(failure.code());
            services.tracing().fail(span, failure);
            relay.fail(failure, errorResponses.apply(failure));
        }
    }

    /** Revokes the send permit of the running attempt, so that the outcome cannot change afterwards. */
    private void revokePermit() {
        mayHaveRun |= attempt.isPresent() && !attempt.get().revoke();
    }

    private void closeUnlessOrderRuns() {
        revokePermit();
        boolean orderRuns = claim.isPresent() && attempt.isPresent() && mayHaveRun;
        if (!orderRuns && !recordingOutcome) {
            close(mayHaveRun ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN);
        }
    }

    private void close(Outcome outcome) {
        if (closed) {
            return;
        }
        closed = true;
        deadlineTimer.cancel();
        attempt.ifPresent(TargetAttempt::cancel);
        attempt = Optional.empty();
        dispatch.cancel();
        tokens.settle(outcome, relay);
        span.end();
        metrics.finished();
        CompletableFuture<Void> recorded = claim.map(orderClaim -> orderClaim.finish(outcome, Optional.empty()))
                .orElseGet(() -> CompletableFuture.completedFuture(null));
        recorded.whenComplete((done, problem) -> closedListener.accept(this));
    }

    private <T> void executeAfter(CompletableFuture<T> future, Consumer<T> next) {
        future.whenComplete((value, problem) -> execute(() -> next.accept(value)));
    }

    private void execute(Runnable action) {
        executor.execute(action);
    }
}
