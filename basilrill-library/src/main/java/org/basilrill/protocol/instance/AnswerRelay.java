package org.basilrill.protocol.instance;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.EventBoundaries;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.TokenUsage;
import org.basilrill.protocol.dialect.RequestMessages;
import org.basilrill.state.control.RecordedAnswer;

/**
 * Passes an answer on to its caller and gives each caller exactly one final answer. The head is held until the first
 * byte of the body, so that an attempt that fails before can be repeated. Not thread safe.
 */
final class AnswerRelay {
    private final CallerStream caller;
    private final String requestId;
    private final boolean record;
    private final RequestMessages messages;
    private final RequestTrail trail;
    /** Present if the answer can be continued by another target. */
    private final Optional<EventBoundaries> boundaries;

    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private TokenUsage usage = new TokenUsage();
    private AnswerHead head;
    private boolean started;
    private boolean finished;
    private boolean tooLong;
    private long outstanding;

    AnswerRelay(CallerStream caller, RequestPlan plan, RequestTrail trail) {
        this.caller = caller;
        this.trail = trail;
        requestId = plan.requestId();
        record = plan.order().isPresent();
        messages = plan.messages();
        boundaries = plan.attempts().resumes() ? Optional.of(new EventBoundaries()) : Optional.empty();
    }

    /** Gives a caller the refusal of a request that was not started. */
    static void refuse(CallerStream caller, String requestId, PlainAnswer refusal) {
        send(caller, requestId, refusal);
    }

    /** Returns the decisions on the request so far. */
    RequestTrail trail() {
        return trail;
    }

    /** Returns whether the target's answer has begun to reach the caller. */
    boolean started() {
        return started;
    }

    /** Returns whether the caller has its final answer or went away. */
    boolean finished() {
        return finished;
    }

    /** Returns the bytes the caller's connection has not taken yet. */
    long outstanding() {
        return outstanding;
    }

    /**
     * Returns the tokens that the request used, as far as the target's answer tells.
     *
     * @param promptTokens used in any case
     * @param chargedTokens most that may count as used
     */
    long usedTokens(long promptTokens, long chargedTokens) {
        boolean eventStream = head != null && head.isEventStream();
        return usage.tokens(promptTokens, chargedTokens, eventStream);
    }

    /** Takes the head of the target's answer. */
    void hold(AnswerHead answer) {
        if (!started) {
            head = answer;
        }
    }

    /** Returns whether another target can continue the answer that has begun. */
    boolean isResumable() {
        return started && lastEventId().isPresent();
    }

    /** Returns the last event that went to the caller whole. */
    Optional<String> lastEventId() {
        return started ? boundaries.flatMap(EventBoundaries::lastId) : Optional.empty();
    }

    /** Forgets what a failed attempt sent and the caller has not received. */
    void reset() {
        boundaries.ifPresent(EventBoundaries::dropPartial);
        if (!started) {
            head = null;
            usage = new TokenUsage();
        }
    }

    /** Passes part of the body on; returns true if the bytes wait for the caller, false if nobody takes them. */
    boolean body(byte[] bytes) {
        if (boundaries.isEmpty() || !head.isEventStream()) {
            return pass(bytes);
        }
        byte[] events = boundaries.get().complete(bytes);
        return events.length == 0 ? !finished : pass(events);
    }

    private boolean pass(byte[] bytes) {
        start();
        usage.add(bytes);
        keep(bytes);
        if (finished) {
            return false;
        }
        outstanding += bytes.length;
        caller.write(bytes);
        return true;
    }

    /** Notes that the caller's connection took bytes. */
    void taken(int bytes) {
        outstanding = Math.max(0, outstanding - bytes);
    }

    /** Ends a complete answer. */
    void complete() {
        byte[] rest = boundaries.map(EventBoundaries::rest).orElse(new byte[0]);
        if (rest.length > 0) {
            pass(rest);
        }
        start();
        if (!finished) {
            finished = true;
            trail.answered();
            caller.end();
        }
    }

    /** Gives the caller a failure as its final answer, in the form its state still allows. */
    void fail(BasilrillException failure, PlainAnswer refusal) {
        if (finished) {
            return;
        }
        finished = true;
        trail.failed(failure.code() + (started ? " after the answer began" : ""), failure.getMessage());
        if (!started) {
            send(caller, requestId, refusal);
            return;
        }
        Optional<byte[]> event = head.isEventStream() ? messages.failureEvent(failure) : Optional.empty();
        if (event.isEmpty()) {
            caller.abort();
            return;
        }
        caller.write(event.get());
        caller.end();
    }

    /** Gives the caller the recorded answer of an order that ran before. */
    void replay(RecordedAnswer answer) {
        if (!finished) {
            finished = true;
            send(caller, requestId, PlainAnswer.of(answer.status(), answer.contentType(), answer.body()));
        }
    }

    /** Stops sending to a caller that went away. */
    void abandon() {
        if (!finished) {
            finished = true;
            trail.abandoned();
            caller.abort();
        }
    }

    /** Returns the complete answer in the form that is kept to be replayed. */
    Optional<RecordedAnswer> recorded() {
        if (!record || head == null) {
            return Optional.empty();
        }
        String type = head.header(AnswerHead.CONTENT_TYPE).orElse(PlainAnswer.TEXT);
        byte[] body = tooLong ? new byte[0] : recorded.toByteArray();
        return Optional.of(new RecordedAnswer(head.status(), type, body, !tooLong));
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        if (!finished) {
            caller.start(new AnswerHead(head.status(), messages.toCaller(head.headers())));
        }
    }

    private void keep(byte[] bytes) {
        if (!record || tooLong) {
            return;
        }
        if (recorded.size() + bytes.length > RecordedAnswer.MAXIMUM_BODY_BYTES) {
            tooLong = true;
            recorded.reset();
            return;
        }
        recorded.writeBytes(bytes);
    }

    private static void send(CallerStream caller, String requestId, PlainAnswer answer) {
        List<HeaderField> headers = new ArrayList<>(answer.headers());
        headers.add(new HeaderField(AnswerHead.CONTENT_TYPE, answer.contentType()));
        headers.add(new HeaderField(AnswerHead.CONTENT_LENGTH, Integer.toString(answer.body().length)));
        headers.add(new HeaderField(RequestHead.REQUEST_ID, requestId));
        caller.start(new AnswerHead(answer.status(), headers));
        if (answer.body().length > 0) {
            caller.write(answer.body());
        }
        caller.end();
    }
}
