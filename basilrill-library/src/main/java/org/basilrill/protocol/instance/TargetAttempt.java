package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.dialect.TargetCall;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * One attempt to run a request at one target. Holds the assignment until the attempt is over. The events of the
 * connector are passed on through the events of the exchange; everything else is called by those events only.
 */
final class TargetAttempt implements TargetConnector.Listener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int FIRST_ERROR = 300;
    private static final String FULL = "the target is full and ran nothing";

    private final RequestServices services;
    private final RequestPlan plan;
    private final Assignment assignment;
    private final Owner owner;
    private final Executor events;
    private final Span span;
    private final long deadlineNanos;
    private final SendPermit permit = new SendPermit();
    private TargetConnector.Call call = new NoCall();
    private boolean over;
    private boolean answered;
    private AttemptResult resultOfAnswer = AttemptResult.SUCCEEDED;
    private long lastProgressNanos;
    private long sentNanos;
    private Scheduler.Cancellable progressTimer = () -> {};

    TargetAttempt(
            RequestServices services,
            RequestPlan plan,
            Assignment assignment,
            Owner owner,
            Executor events,
            Span requestSpan,
            long deadlineNanos) {
        this.services = services;
        this.plan = plan;
        this.assignment = assignment;
        this.owner = owner;
        this.events = events;
        this.deadlineNanos = deadlineNanos;
        span = services.tracing()
                .startAttempt(requestSpan, assignment.target().id().value());
    }

    /** What happens in the attempt, for the exchange it belongs to. */
    interface Owner {
        /** Takes the head of the answer. */
        void answerBegan(AnswerHead head);

        /** Takes part of the body. */
        void answerContinued(byte[] bytes);

        /** Takes the end of the answer; the attempt is over. */
        void answerEnded();

        /** Takes the failure; the attempt is over. */
        void attemptFailed(AttemptFailure failure);

        /** Returns what the caller has received of the answer; this attempt continues it. */
        AnswerRelay answer();

        /** Returns whether a failure that the target answered is worth another attempt instead of being passed on. */
        boolean wantsAnother();

        /** Ends a request whose caller has not read for the progress deadline. */
        void callerStalled();
    }

    /**
     * How an attempt failed.
     *
     * @param mayHaveRun whether the target may have run the request; false if it said that it is full
     * @param targetLost whether the target ended the connection while it had the request
     */
    record AttemptFailure(ErrorCode code, String detail, boolean mayHaveRun, boolean targetLost) {}

    TargetAnnouncement target() {
        return assignment.target();
    }

    void open(boolean freshConnection) {
        noteProgress();
        owner.answer().trail().sent(target());
        sentNanos = services.clock().nanos();
        List<HeaderField> headers = plan.messages()
                .toTarget(new TargetCall(
                        target().id(),
                        plan.account(),
                        Duration.ofNanos(
                                Math.max(0, deadlineNanos - services.clock().nanos())),
                        plan.priority(),
                        owner.answer().lastEventId(),
                        services.tracing().fields(span)));
        TargetConnector.Request request =
                new TargetConnector.Request(plan.head().method(), plan.pathAndQuery(), headers, plan.body());
        call = services.connector().open(assignment.target(), request, freshConnection, this);
        watchProgress(services.limits().progressDeadline());
    }

    /** Revokes the permit to send; false if a byte may have left. */
    boolean revoke() {
        return permit.revoke();
    }

    void grant(int bytes) {
        if (!over) {
            noteProgress();
            call.grant(bytes);
        }
    }

    /** Ends the attempt without an answer; the target is told by the end of the connection. */
    void cancel() {
        if (!over) {
            finish(AttemptResult.CANCELLED);
            call.cancel();
        }
    }

    @Override
    public boolean maySend() {
        boolean taken = permit.take();
        if (taken) {
            owner.answer().trail().connected(sentNanos);
        }
        return taken;
    }

    @Override
    public void answered(AnswerHead head) {
        event(() -> {
            Optional<String> id = plan.messages().requestId(head);
            if (!services.requestIdEchoes().matches(target(), plan.requestId(), id)) {
                LOGGER.atWarning().log("%s: target %s", LogEvent.ANSWER_CROSSED, target().id());
                fail(ErrorCode.ANSWER_MISMATCH, "the target answered without the id of the request", false);
                return;
            }
            owner.answer().trail().note("status " + head.status() + " from", target());
            assignment.answered(plan.messages().load(head));
            if (plan.messages().misdirected(head)) {
                end(
                        AttemptResult.REFUSED_ABSENT,
                        new AttemptFailure(
                                ErrorCode.TARGET_MISDIRECTED, "the request is not for the target", false, false));
                return;
            }
            if (plan.messages().ranNothing(head)) {
                end(AttemptResult.REFUSED_FULL, new AttemptFailure(ErrorCode.TARGET_FULL, FULL, false, false));
                return;
            }
            if (owner.answer().started() && head.status() >= FIRST_ERROR) {
                fail(ErrorCode.STREAM_CUT, "the target answered with status " + head.status(), false);
                return;
            }
            if (head.status() >= FIRST_SERVER_ERROR && owner.wantsAnother()) {
                fail(ErrorCode.TARGET_FAILED, "the target answered with status " + head.status(), false);
                return;
            }
            answered = true;
            noteProgress();
            resultOfAnswer = head.status() >= FIRST_SERVER_ERROR ? AttemptResult.FAILED : AttemptResult.SUCCEEDED;
            owner.answerBegan(head);
        });
    }

    @Override
    public void received(byte[] bytes) {
        event(() -> {
            noteProgress();
            try {
                owner.answerContinued(bytes);
            } catch (BasilrillException invalid) {
                fail(invalid.code(), invalid.getMessage(), false);
            }
        });
    }

    @Override
    public void ended() {
        event(() -> {
            finish(resultOfAnswer);
            owner.answer().trail().attemptSucceeded(target());
            owner.answerEnded();
        });
    }

    @Override
    public void failed(TargetConnector.Failure failure) {
        event(() -> {
            switch (failure.kind()) {
                case UNREACHABLE -> unreachable(failure);
                case CONNECTION_LOST -> connectionLost(failure);
                case INVALID_ANSWER -> fail(ErrorCode.TARGET_FAILED, failure.detail(), false);
                default -> throw new IllegalStateException("unknown failure " + failure.kind());
            }
        });
    }

    /** A target that accepts no connection gets no further request before a probe succeeds. */
    private void unreachable(TargetConnector.Failure failure) {
        permit.revoke();
        end(AttemptResult.TIMED_OUT, new AttemptFailure(ErrorCode.TARGET_UNREACHABLE, failure.detail(), false, false));
    }

    /**
     * A target may close an idle connection at the moment it is used again, which is no crash. One that accepts no new
     * connection either has crashed: counted as closed, it cost a request one target more than the limit.
     */
    private void connectionLost(TargetConnector.Failure failure) {
        if (!plan.attempts().confirmsLosses()) {
            fail(ErrorCode.TARGET_FAILED, failure.detail(), false);
            lookIntoLoss();
            return;
        }
        if (answered || !failure.reusedConnection()) {
            fail(ErrorCode.TARGET_FAILED, failure.detail(), true);
            return;
        }
        services.connector()
                .accepts(target())
                .thenAccept(accepts -> event(() -> fail(ErrorCode.TARGET_FAILED, failure.detail(), !accepts)));
    }

    /** A connection that is reset is no crash; a target that then accepts no new one has crashed. */
    private void lookIntoLoss() {
        services.connector().accepts(target()).thenAccept(accepts -> {
            if (!accepts) {
                CrashReports.report(services, plan.fingerprint(), target());
            }
        });
    }

    private void fail(ErrorCode code, String detail, boolean connectionLost) {
        boolean mayHaveRun = !permit.revoke();
        AttemptResult result = code == ErrorCode.TARGET_TIMEOUT ? AttemptResult.TIMED_OUT : AttemptResult.FAILED;
        end(result, new AttemptFailure(code, detail, mayHaveRun, mayHaveRun && connectionLost));
    }

    private void end(AttemptResult result, AttemptFailure failure) {
        owner.answer().trail().attemptFailed(failure.code(), failure.detail(), target());
        finish(result);
        call.cancel();
        services.tracing().fail(span, new BasilrillException(failure.code(), failure.detail()));
        owner.attemptFailed(failure);
    }

    private void watchProgress(Duration delay) {
        progressTimer = services.scheduler().schedule(delay, () -> event(this::checkProgress));
    }

    private void checkProgress() {
        Duration limit = services.limits().progressDeadline();
        Duration silence = Duration.ofNanos(services.clock().nanos() - lastProgressNanos);
        if (silence.compareTo(limit) < 0) {
            watchProgress(limit.minus(silence));
        } else if (waitsForCaller()) {
            owner.callerStalled();
        } else {
            fail(ErrorCode.TARGET_TIMEOUT, "the target sent nothing for " + limit.toMillis() + " ms", false);
        }
    }

    /** Returns whether the silence is that of a caller that does not read. */
    private boolean waitsForCaller() {
        AnswerRelay answer = owner.answer();
        return !answer.finished() && answer.outstanding() >= services.limits().windowBytes();
    }

    private void finish(AttemptResult result) {
        over = true;
        progressTimer.cancel();
        assignment.release(result);
        span.end();
    }

    /** Passes an event on unless the attempt is over; late events of a cancelled call have no effect. */
    private void event(Runnable action) {
        events.execute(() -> {
            if (!over) {
                action.run();
            }
        });
    }

    private void noteProgress() {
        lastProgressNanos = services.clock().nanos();
    }

    /** Stands for the call until the connector returned one. */
    private static final class NoCall implements TargetConnector.Call {
        @Override
        public void grant(int bytes) {
            throw new IllegalStateException("the call is not open");
        }

        @Override
        public void cancel() {
            // Nothing was opened.
        }
    }
}
