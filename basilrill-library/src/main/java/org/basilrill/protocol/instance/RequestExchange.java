package org.basilrill.protocol.instance;

import io.opentelemetry.api.trace.Span;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.admission.Dispatcher;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.coordination.admission.TokenAdmission.Charge;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.RecordedAnswer;

/**
 * The life of one request: claim, charge, dispatch, attempts at targets, final answer, settlement. Its caller receives
 * exactly one final answer. An order whose bytes may have left runs on after its caller got a failure, so that its
 * outcome is recorded. Thread safe: everything runs as serial events.
 */
final class RequestExchange implements RunningRequest, TargetAttempt.Owner {
    /** About the time in which a slot of a full target becomes free. */
    private static final Duration FULL_RETRY_DELAY = Duration.ofSeconds(1);

    private final RequestServices services;
    private final RequestMetrics metrics;
    private final RequestPlan plan;
    private final AnswerRelay relay;
    private final Function<BasilrillException, PlainAnswer> refusals;
    private final Consumer<RequestExchange> closedListener;
    private final Optional<OrderClaim> claim;
    private final Span span;
    private final SerialEvents events = new SerialEvents(() -> giveUp(ErrorCode.INTERNAL, "unexpected failure"));
    private final UsedTargets targets;
    private final long startNanos;
    private final long deadlineNanos;
    private final Retries retries;

    private Scheduler.Cancellable deadlineTimer = () -> {};
    private CompletableFuture<Assignment> queued = CompletableFuture.completedFuture(null);
    private Optional<Charge> charge = Optional.empty();
    private Optional<TargetAttempt> attempt = Optional.empty();
    private boolean mayHaveRun;
    private boolean recording;

    private boolean closed;

    RequestExchange(
            RequestServices services,
            RequestMetrics metrics,
            RequestPlan plan,
            CallerStream caller,
            Function<BasilrillException, PlainAnswer> refusals,
            Consumer<RequestExchange> closedListener) {
        this.services = services;
        this.metrics = metrics;
        this.plan = plan;
        this.refusals = refusals;
        this.closedListener = closedListener;
        relay = new AnswerRelay(caller, plan, new RequestTrail(plan, services.clock(), metrics));
        claim = plan.order().map(order -> new OrderClaim(services, order));
        span = services.tracing().startRequest(plan);
        startNanos = services.clock().nanos();
        deadlineNanos = startNanos + plan.deadline().toNanos();
        targets = new UsedTargets(services.dispatcher(), plan.destination());
        retries = new Retries(services, plan, deadlineNanos);
    }

    /** Starts the life cycle. */
    void begin() {
        event(() -> {
            metrics.started();
            services.retryBudget().requestStarted();
            deadlineTimer = services.scheduler().schedule(plan.deadline(), () -> event(this::deadlinePassed));
            if (claim.isPresent()) {
                claimOrder(claim.get());
            } else {
                chargeTokens();
            }
        });
    }

    @Override
    public void taken(int bytes) {
        event(() -> {
            relay.taken(bytes);
            attempt.ifPresent(running -> running.grant(bytes));
        });
    }

    @Override
    public void callerGone() {
        event(() -> {
            if (!relay.finished()) {
                relay.abandon();
                endUnlessOrderRuns();
            }
        });
    }

    /** Ends the request if its key is no longer in force; returns whether it is not. */
    boolean viewChanged(ControlView view) {
        boolean withdrawn = plan.keyHash()
                .filter(key -> !view.rules().accountOf(key).equals(plan.account()))
                .isPresent();
        if (withdrawn) {
            event(this::keyWithdrawn);
        }
        return withdrawn;
    }

    private void keyWithdrawn() {
        if (plan.attempts().endsWithKey() || attempt.isEmpty()) {
            giveUp(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn while the request ran");
        }
    }

    /** Ends the request because the instance stops. */
    void stop() {
        event(() -> giveUp(ErrorCode.INSTANCE_DRAINING, "the instance stopped before the request was complete"));
    }

    @Override
    public void answerBegan(AnswerHead head) {
        relay.hold(head);
    }

    @Override
    public void answerContinued(byte[] bytes) {
        boolean begins = !relay.started();
        if (!relay.body(bytes)) {
            attempt.ifPresent(running -> running.grant(bytes.length));
        }
        if (begins && relay.started()) {
            answerStarts();
        }
    }

    @Override
    public void answerEnded() {
        attempt = Optional.empty();
        if (!relay.started()) {
            answerStarts();
        }
        if (claim.isEmpty()) {
            relay.complete();
            close(Outcome.RAN);
            return;
        }
        // The answer ends only after it is recorded: a caller that has seen the end can have it replayed.
        recording = true;
        await(claim.get().finish(Outcome.RAN, relay.recorded()), done -> {
            relay.complete();
            close(Outcome.RAN);
        });
    }

    @Override
    public void attemptFailed(TargetAttempt.AttemptFailure failure) {
        TargetAttempt failed = attempt.orElseThrow();
        attempt = Optional.empty();
        retries.attemptFailed(failure);
        targets.failed(failed.target().id(), failure);
        mayHaveRun |= failure.mayHaveRun();
        if (!failure.targetLost()) {
            retryOrFail(failure);
            return;
        }
        CompletableFuture<ControlResult> report = CrashReports.report(services, plan.fingerprint(), failed.target());
        if (!mayRepeat(failure)) {
            retryOrFail(failure);
            return;
        }
        // The next target is put at risk only once it is known how many this request has cost.
        awaitResult(
                report,
                (result, problem) -> CrashReports.obstacle(result, failure.code())
                        .ifPresentOrElse(code -> giveUp(code, failure.detail()), () -> retryOrFail(failure)));
    }

    @Override
    public AnswerRelay answer() {
        return relay;
    }

    @Override
    public boolean wantsAnother() {
        return attempt.filter(running -> targets.hasOthersThan(running.target().id()))
                        .isPresent()
                && retries.replacesServerError();
    }

    @Override
    public void callerStalled() {
        callerGone();
    }

    private void claimOrder(OrderClaim order) {
        if (services.control().sessionId() == 0) {
            giveUp(ErrorCode.CONTROL_UNAVAILABLE, "this instance has no session with the control log");
            return;
        }
        awaitResult(order.claim(retries.timeLeft()), (result, problem) -> {
            if (problem != null) {
                refuse(problem.withOutcome(Outcome.NOT_RUN));
            } else if (result instanceof ControlResult.OrderGranted) {
                chargeTokens();
            } else {
                answerFromClaim(result);
            }
        });
    }

    /** Answers an order that this attempt may not run; nothing is recorded, as the claim belongs to another attempt. */
    private void answerFromClaim(ControlResult result) {
        if (result instanceof ControlResult.OrderFinished finished
                && finished.answer().filter(RecordedAnswer::complete).isPresent()) {
            relay.replay(finished.answer().get());
        } else {
            failCaller(OrderRefusals.of(result, services.limits()));
        }
        close(Outcome.NOT_RUN);
    }

    private void chargeTokens() {
        if (plan.account().isEmpty() || plan.chargedTokens() == 0) {
            dispatch();
            return;
        }
        CompletableFuture<Charge> request =
                services.admission().charge(plan.account().get(), plan.chargedTokens(), deadlineNanos);
        request.whenComplete((taken, problem) -> event(() -> {
            if (closed) {
                Optional.ofNullable(taken).ifPresent(late -> late.settle(0));
            } else if (problem != null) {
                refuse(TypedFailures.of(problem));
            } else {
                charge = Optional.of(taken);
                relay.trail().note("tokens charged");
                dispatch();
            }
        }));
    }

    private void dispatch() {
        CompletableFuture<Assignment> request = services.dispatcher()
                .dispatch(new Dispatcher.Request(
                        plan.requestId(),
                        plan.account(),
                        plan.destination(),
                        plan.priority(),
                        plan.chargedTokens(),
                        retries.patienceEndsNanos(relay.started()),
                        targets.excluded(),
                        plan.prompt()));
        queued = request;
        request.whenComplete((assignment, problem) -> event(() -> {
            if (closed) {
                Optional.ofNullable(assignment).ifPresent(late -> late.release(AttemptResult.CANCELLED));
            } else if (problem != null) {
                refuse(TypedFailures.of(problem));
            } else if (!services.control().isCurrent()) { // The key may have been revoked while the request waited.
                assignment.release(AttemptResult.CANCELLED);
                giveUp(ErrorCode.INSTANCE_NOT_CURRENT, "this instance can no longer confirm its rules");
            } else if (services.blockedRequests().contains(plan.fingerprint())) {
                assignment.release(AttemptResult.CANCELLED);
                giveUp(ErrorCode.CRASH_SUSPECT, CrashReports.SUSPECT);
            } else {
                boolean first = retries.attemptBegins();
                TargetAttempt next = new TargetAttempt(services, plan, assignment, this, events, span, deadlineNanos);
                attempt = Optional.of(next);
                next.open(claim.isPresent() || !first);
            }
        }));
    }

    private void retryOrFail(TargetAttempt.AttemptFailure failure) {
        if (relay.started() && !relay.isResumable()) {
            giveUp(ErrorCode.STREAM_CUT, "the answer was cut: " + failure.detail());
            return;
        }
        if (!mayRepeat(failure) || !retries.pay()) {
            giveUp(failure.code(), failure.detail());
            return;
        }
        metrics.retried();
        relay.reset();
        dispatch();
    }

    private boolean mayRepeat(TargetAttempt.AttemptFailure failure) {
        return (!relay.started() || relay.isResumable()) && !relay.finished() && retries.mayRepeat(failure);
    }

    private void answerStarts() {
        if (!plan.attempts().coversWholeAnswer()) {
            deadlineTimer.cancel();
        }
        metrics.firstByte(plan.destination(), services.clock().nanos() - startNanos);
    }

    private void deadlinePassed() {
        if (!relay.started() || plan.attempts().coversWholeAnswer()) {
            giveUp(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "no answer within " + plan.deadline().toMillis() + " ms");
        }
    }

    /** Ends the request with a failure found here; its outcome follows from whether a byte may have left. */
    private void giveUp(ErrorCode code, String detail) {
        noteOutcome();
        BasilrillException failure =
                new BasilrillException(code, detail).withOutcome(mayHaveRun ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN);
        refuse(code == ErrorCode.TARGET_FULL ? failure.withRetryAfter(FULL_RETRY_DELAY) : failure);
    }

    private void refuse(BasilrillException failure) {
        if (recording) {
            return;
        }
        noteOutcome();
        boolean understated = mayHaveRun && failure.outcome() == Outcome.NOT_RUN;
        failCaller(understated ? failure.withOutcome(Outcome.MAY_HAVE_RUN) : failure);
        endUnlessOrderRuns();
    }

    private void failCaller(BasilrillException failure) {
        if (!relay.finished()) {
            metrics.failed(failure.code());
            services.tracing().fail(span, failure);
            relay.fail(failure, refusals.apply(failure));
        }
    }

    /** Revokes the permit of the running attempt, so that the outcome cannot change afterwards. */
    private void noteOutcome() {
        mayHaveRun |= attempt.isPresent() && !attempt.get().revoke();
    }

    private void endUnlessOrderRuns() {
        noteOutcome();
        boolean orderRuns = claim.isPresent() && attempt.isPresent() && mayHaveRun;
        if (!orderRuns && !recording) {
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
        queued.cancel(false);
        charge.ifPresent(taken -> settle(taken, outcome));
        span.end();
        metrics.finished();
        CompletableFuture<Void> recorded = claim.map(held -> held.finish(outcome, Optional.empty()))
                .orElseGet(() -> CompletableFuture.completedFuture(null));
        recorded.whenComplete((done, problem) -> closedListener.accept(this));
    }

    private void settle(Charge taken, Outcome outcome) {
        long used = outcome == Outcome.NOT_RUN ? 0 : relay.usedTokens(plan.promptTokens(), taken.tokens());
        taken.settle(used);
        metrics.used(plan.account(), used);
    }

    private <T> void await(CompletableFuture<T> future, Consumer<T> next) {
        future.whenComplete((value, problem) -> event(() -> next.accept(value)));
    }

    /** Goes on with the result or the typed failure, unless the request has ended in the meantime. */
    private void awaitResult(CompletableFuture<ControlResult> future, ResultHandler next) {
        future.whenComplete((result, problem) -> event(() -> {
            if (!closed) {
                next.handle(result, problem == null ? null : TypedFailures.of(problem));
            }
        }));
    }

    private void event(Runnable action) {
        events.execute(action);
    }
}
