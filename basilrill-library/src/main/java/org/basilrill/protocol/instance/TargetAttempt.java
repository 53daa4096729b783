package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Scheduler;
import org.basilrill.api.SuspectId;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.dialect.TargetCall;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * One attempt to run a request at one target. Releases its assignment when the attempt finishes. Events of the
 * connector run on the serial executor of the exchange; all other methods except {@link #maySend} are called only by
 * tasks of that executor.
 */
final class TargetAttempt implements TargetConnector.Listener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    /** Connections within a region are accepted or refused in a few milliseconds. */
    private static final Duration LOSS_CONFIRMATION_TIMEOUT = Duration.ofMillis(100);

    private static final String FULL_DETAIL = "the target is full and ran nothing";

    private final RequestServices services;
    private final RequestPlan plan;
    private final Assignment assignment;
    private final Owner owner;
    private final Executor executor;
    private final Span span;
    private final long deadlineNanos;
    private final SendPermit permit = new SendPermit();
    private final ResponseEvidence evidence;
    private TargetConnector.Call call = new UnopenedCall();
    private boolean finished;
    private boolean responseStarted;
    private boolean bodyStarted;
    private AttemptResult responseResult = AttemptResult.SUCCEEDED;
    private long lastProgressNanos;
    private long sentNanos;
    private long lostNanos;
    private Scheduler.Cancellable progressTimer = () -> {};

    TargetAttempt(
            RequestServices services,
            RequestPlan plan,
            Assignment assignment,
            Owner owner,
            Executor executor,
            Span requestSpan,
            long deadlineNanos) {
        this.services = services;
        this.plan = plan;
        this.assignment = assignment;
        this.owner = owner;
        this.executor = executor;
        this.deadlineNanos = deadlineNanos;
        evidence = new ResponseEvidence(services, plan, assignment.target().softwareVersion());
        span = services.tracing()
                .startAttempt(requestSpan, assignment.target().id().value());
    }

    /** Receives the events of the attempt; implemented by the exchange of the request. */
    interface Owner {
        /** Reports the head of the response. */
        void headReceived(ResponseHead head);

        /** Reports part of the body. */
        void bodyReceived(byte[] bytes);

        /** Reports the end of the response; the attempt is finished. */
        void responseCompleted();

        /** Reports a failure; the attempt is finished. */
        void attemptFailed(AttemptFailure failure);

        /** Returns the response sent to the caller so far, which this attempt continues. */
        ResponseRelay relay();

        /** Returns whether a server error of the target is to be retried instead of being forwarded. */
        boolean shouldRetryServerError();

        /** Reports that the caller has not read within the progress deadline. */
        void callerStalled();
    }

    /**
     * How an attempt failed.
     *
     * @param mayHaveRun whether the target may have run the request; false if it reported that it is full
     * @param targetLost whether the connection was lost after the request may have been sent
     * @param suspects what may have crashed the target; empty if the target then accepted a connection
     */
    record AttemptFailure(
            ErrorCode code, String detail, boolean mayHaveRun, boolean targetLost, List<SuspectId> suspects) {
        AttemptFailure(ErrorCode code, String detail, boolean mayHaveRun, boolean targetLost) {
            this(code, detail, mayHaveRun, targetLost, List.of());
        }
    }

    TargetAnnouncement target() {
        return assignment.target();
    }

    /** Returns the lost connection of a failed attempt. */
    LostConnection lostConnection() {
        return new LostConnection(target(), sentNanos, lostNanos);
    }

    void open(boolean freshConnection) {
        recordProgress();
        owner.relay().decisionLog().sent(target());
        sentNanos = services.clock().nanos();
        List<HeaderField> headers = plan.messages()
                .targetHeaders(new TargetCall(
                        target().id(),
                        plan.account(),
                        Duration.ofNanos(
                                Math.max(0, deadlineNanos - services.clock().nanos())),
                        plan.priority(),
                        owner.relay().lastEventId(),
                        services.tracing().fields(span)));
        TargetConnector.Request request = new TargetConnector.Request(
                plan.head().method(),
                plan.pathAndQuery(),
                headers,
                plan.body(),
                plan.requestId(),
                plan.destination().residency());
        call = services.connector().open(assignment.target(), request, freshConnection, this);
        scheduleProgressCheck(services.limits().progressDeadline());
    }

    /** Revokes the send permit; returns false if bytes may have been sent. */
    boolean revoke() {
        return permit.revoke();
    }

    void extendWindow(int bytes) {
        if (!finished) {
            recordProgress();
            call.extendWindow(bytes);
        }
    }

    /** Ends the attempt without a response; closing the connection cancels the request at the target. */
    void cancel() {
        if (!finished) {
            finish(AttemptResult.CANCELLED);
            call.cancel();
        }
    }

    @Override
    public boolean maySend() {
        boolean acquired = permit.acquire();
        if (acquired) {
            owner.relay().decisionLog().connected(sentNanos);
            services.permits()
                    .rateOf(target())
                    .ifPresent(rate -> owner.relay().decisionLog().sentToLimitedTarget(target(), rate));
        }
        return acquired;
    }

    @Override
    public void headReceived(ResponseHead head) {
        executeUnlessFinished(() -> {
            Optional<String> id = plan.messages().requestId(head);
            if (!services.requestIdCheck().matches(target(), plan.requestId(), id)) {
                LOGGER.atWarning().log("%s: target %s", LogEvent.ANSWER_CROSSED, target().id());
                fail(ErrorCode.ANSWER_MISMATCH, "the response does not carry the ID of the request", false);
                return;
            }
            if (plan.messages().isUnsigned(head)) {
                fail(ErrorCode.TARGET_FAILED, "the response is not signed, status " + head.status(), false);
                return;
            }
            owner.relay().decisionLog().addStep("status " + head.status() + " from", target());
            services.permits().observe(target(), plan.messages().requestRate(head));
            assignment.responseStarted(plan.messages().load(head));
            if (plan.messages().reportsMisdirected(head)) {
                end(
                        AttemptResult.REFUSED_ABSENT,
                        new AttemptFailure(
                                ErrorCode.TARGET_MISDIRECTED, "the target does not serve the request", false, false));
                return;
            }
            if (plan.messages().reportsNotRun(head)) {
                end(AttemptResult.REFUSED_FULL, new AttemptFailure(ErrorCode.TARGET_FULL, FULL_DETAIL, false, false));
                return;
            }
            if (owner.relay().started() && !owner.relay().continuesWith(head)) {
                fail(ErrorCode.STREAM_CUT, "resumed with another response, status " + head.status(), false);
                return;
            }
            if (head.status() >= FIRST_SERVER_ERROR_STATUS && owner.shouldRetryServerError()) {
                fail(ErrorCode.TARGET_FAILED, "the target responded with status " + head.status(), false);
                return;
            }
            responseStarted = true;
            evidence.headReceived(head);
            recordProgress();
            responseResult =
                    head.status() >= FIRST_SERVER_ERROR_STATUS ? AttemptResult.FAILED : AttemptResult.SUCCEEDED;
            owner.headReceived(head);
        });
    }

    @Override
    public void bodyReceived(byte[] bytes) {
        executeUnlessFinished(() -> {
            recordProgress();
            if (!bodyStarted && bytes.length > 0) {
                bodyStarted = true;
                assignment.firstEventReceived();
            }
            evidence.bodyReceived(bytes, this::executeUnlessFinished);
            try {
                owner.bodyReceived(bytes);
            } catch (BasilrillException invalid) {
                fail(invalid.code(), invalid.getMessage(), false);
            }
        });
    }

    @Override
    public void responseCompleted() {
        executeUnlessFinished(() -> {
            if (!owner.relay().mayEnd()) {
                fail(ErrorCode.STREAM_CUT, "the stream ended inside an event or before one", false);
                return;
            }
            finish(responseResult);
            evidence.completed(sentNanos);
            owner.relay().decisionLog().attemptSucceeded(target());
            owner.responseCompleted();
        });
    }

    @Override
    public void failed(TargetConnector.Failure failure) {
        executeUnlessFinished(() -> {
            switch (failure.kind()) {
                case UNREACHABLE -> unreachable(failure);
                case CONNECTION_LOST -> connectionLost(failure);
                case INVALID_ANSWER -> fail(ErrorCode.TARGET_FAILED, failure.detail(), false);
                case PATH_LOST -> pathLost(failure);
                case NO_PATH ->
                    end(AttemptResult.CANCELLED, new AttemptFailure(ErrorCode.NO_PATH, failure.detail(), false, false));
                case NOT_ACCEPTED ->
                    end(
                            AttemptResult.REFUSED_FULL,
                            new AttemptFailure(ErrorCode.TARGET_FULL, failure.detail(), false, false));
                default -> throw new IllegalStateException("unknown failure " + failure.kind());
            }
        });
    }

    @Override
    public void carriedBy(InstanceId relay) {
        executeUnlessFinished(() -> owner.relay().decisionLog().addStep("carried by " + relay + " to", target()));
    }

    @Override
    public boolean abandonsLostPath() {
        return plan.repeatable();
    }

    /** Ends the attempt without a result for the target, whose health the loss of a path does not show. */
    private void pathLost(TargetConnector.Failure failure) {
        boolean mayHaveRun = !permit.revoke();
        lostNanos = services.clock().nanos();
        if (mayHaveRun) {
            lostConnection().keepUnexplained(services, plan.suspects());
        }
        end(AttemptResult.CANCELLED, new AttemptFailure(ErrorCode.TARGET_FAILED, failure.detail(), mayHaveRun, false));
    }

    /** Reports a timeout, so that a target that accepts no connection gets no request before a probe succeeds. */
    private void unreachable(TargetConnector.Failure failure) {
        permit.revoke();
        end(AttemptResult.TIMED_OUT, new AttemptFailure(ErrorCode.TARGET_UNREACHABLE, failure.detail(), false, false));
    }

    /**
     * Handles a lost connection. A target may close an idle connection just as it is reused, which is not a crash. If
     * the target then accepts no new connection, it has crashed: when this was counted as the close of an idle
     * connection, a request crashed one target more than the limit.
     */
    private void connectionLost(TargetConnector.Failure failure) {
        lostNanos = services.clock().nanos();
        boolean confirmsLoss = plan.attemptPolicy().confirmsLossBeforeRetry();
        if (evidence.isEstablished()) {
            fail(ErrorCode.TARGET_FAILED, failure.detail(), confirmsLoss);
            lostConnection().detectCrash(services, plan);
            return;
        }
        boolean certainlyLost = confirmsLoss && (responseStarted || !failure.reusedConnection());
        confirmLoss(failure.detail(), certainlyLost);
    }

    /**
     * Ends the attempt once it is known whether the target accepts connections. A target that does not respond to the
     * connection request is treated as reachable, so that the retry is not delayed further.
     */
    private void confirmLoss(String detail, boolean certainlyLost) {
        Scheduler.Cancellable timer = services.scheduler()
                .schedule(LOSS_CONFIRMATION_TIMEOUT, () -> lossConfirmed(detail, certainlyLost, true));
        services.connector().acceptsConnection(target()).thenAccept(accepts -> {
            timer.cancel();
            lossConfirmed(detail, certainlyLost, accepts);
        });
    }

    private void lossConfirmed(String detail, boolean certainlyLost, boolean acceptsConnections) {
        executeUnlessFinished(() -> {
            boolean mayHaveRun = !permit.revoke();
            boolean lost = mayHaveRun && (certainlyLost || !acceptsConnections);
            List<SuspectId> suspects = lost && !acceptsConnections ? plan.suspects() : List.of();
            if (mayHaveRun && acceptsConnections) {
                lostConnection().keepUnexplained(services, plan.suspects());
            }
            end(AttemptResult.FAILED, new AttemptFailure(ErrorCode.TARGET_FAILED, detail, mayHaveRun, lost, suspects));
        });
    }

    private void fail(ErrorCode code, String detail, boolean connectionLost) {
        boolean mayHaveRun = !permit.revoke();
        AttemptResult result = code == ErrorCode.TARGET_TIMEOUT ? AttemptResult.TIMED_OUT : AttemptResult.FAILED;
        end(result, new AttemptFailure(code, detail, mayHaveRun, mayHaveRun && connectionLost));
    }

    private void end(AttemptResult result, AttemptFailure failure) {
        owner.relay().decisionLog().attemptFailed(failure.code(), failure.detail(), target());
        finish(result);
        call.cancel();
        services.tracing().fail(span, new BasilrillException(failure.code(), failure.detail()));
        owner.attemptFailed(failure);
    }

    private void scheduleProgressCheck(Duration delay) {
        progressTimer = services.scheduler().schedule(delay, () -> executeUnlessFinished(this::checkProgress));
    }

    private void checkProgress() {
        Duration limit = services.limits().progressDeadline();
        Duration idleDuration = Duration.ofNanos(services.clock().nanos() - lastProgressNanos);
        if (idleDuration.compareTo(limit) < 0) {
            scheduleProgressCheck(limit.minus(idleDuration));
        } else if (waitsForCaller()) {
            owner.callerStalled();
        } else {
            fail(ErrorCode.TARGET_TIMEOUT, "the target sent nothing for " + limit.toMillis() + " ms", false);
        }
    }

    /** Returns whether the attempt makes no progress because the caller does not read. */
    private boolean waitsForCaller() {
        ResponseRelay relay = owner.relay();
        return !relay.finished() && relay.unwrittenBytes() >= services.limits().windowBytes();
    }

    private void finish(AttemptResult result) {
        finished = true;
        progressTimer.cancel();
        assignment.release(result);
        span.end();
    }

    /** Runs an event unless the attempt is finished; late events of a cancelled call have no effect. */
    private void executeUnlessFinished(Runnable action) {
        executor.execute(() -> {
            if (!finished) {
                action.run();
            }
        });
    }

    private void recordProgress() {
        lastProgressNanos = services.clock().nanos();
    }
}
