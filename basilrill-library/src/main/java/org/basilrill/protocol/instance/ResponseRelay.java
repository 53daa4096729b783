package org.basilrill.protocol.instance;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.EventBoundaries;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.caller.TokenUsage;
import org.basilrill.protocol.dialect.RequestMessages;
import org.basilrill.state.control.RecordedResponse;

/**
 * Forwards the response of a target to the caller and sends each caller exactly one final response. The head is
 * buffered until the first byte of the body, so that an attempt that fails earlier can be retried. Not thread safe.
 */
final class ResponseRelay {
    private final CallerStream caller;
    private final String requestId;
    private final boolean record;
    private final RequestMessages messages;
    private final RequestDecisionLog decisionLog;
    /** Present if another target can resume the response. */
    private final Optional<EventBoundaries> boundaries;

    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private TokenUsage usage = new TokenUsage();
    private ResponseHead head;
    private boolean started;
    private boolean finished;
    private boolean tooLongToRecord;
    private long unwrittenBytes;

    ResponseRelay(CallerStream caller, RequestPlan plan, RequestDecisionLog decisionLog) {
        this.caller = caller;
        this.decisionLog = decisionLog;
        requestId = plan.requestId();
        record = plan.order().isPresent();
        messages = plan.messages();
        boundaries = plan.attemptPolicy().resumesStreams() ? Optional.of(new EventBoundaries()) : Optional.empty();
    }

    /** Sends the error response of a request that was not started. */
    static void sendRefusal(CallerStream caller, String requestId, PlainResponse errorResponse) {
        send(caller, requestId, errorResponse);
    }

    /** Returns the log of the decisions on the request. */
    RequestDecisionLog decisionLog() {
        return decisionLog;
    }

    /** Returns whether the head of the target's response has been sent to the caller. */
    boolean started() {
        return started;
    }

    /** Returns whether the final response was sent or the caller disconnected. */
    boolean finished() {
        return finished;
    }

    /** Returns the number of bytes that were not written to the caller's connection yet. */
    long unwrittenBytes() {
        return unwrittenBytes;
    }

    /**
     * Returns the tokens that the request used, as far as the target's response reports them.
     *
     * @param promptTokens lower bound of the result
     * @param chargedTokens upper bound of the result
     */
    long usedTokens(long promptTokens, long chargedTokens) {
        boolean eventStream = head != null && head.isEventStream();
        return usage.tokens(promptTokens, chargedTokens, eventStream);
    }

    /** Buffers the head of the target's response. */
    void headReceived(ResponseHead response) {
        if (!started) {
            head = response;
        }
    }

    /** Returns whether a response that has started can be continued with the body of another one. */
    boolean continuesWith(ResponseHead response) {
        return response.status() == head.status() && response.isEventStream();
    }

    /** Returns whether the body of the target's response may end here; a stream must not end inside an event. */
    boolean mayEnd() {
        return head == null
                || !head.isEventStream()
                || boundaries.map(EventBoundaries::mayEnd).orElse(true);
    }

    /** Returns whether the response has started and another target can resume it. */
    boolean isResumable() {
        return started && lastEventId().isPresent();
    }

    /** Returns the ID of the last event that was sent to the caller completely. */
    Optional<String> lastEventId() {
        return started ? boundaries.flatMap(EventBoundaries::lastId) : Optional.empty();
    }

    /** Discards what a failed attempt sent and was not forwarded to the caller. */
    void reset() {
        boundaries.ifPresent(EventBoundaries::discardIncomplete);
        if (!started) {
            head = null;
            usage = new TokenUsage();
        }
    }

    /** Forwards part of the body; returns whether the bytes are to be sent, false if they were discarded. */
    boolean writeBody(byte[] bytes) {
        if (boundaries.isEmpty() || !head.isEventStream()) {
            return forward(bytes);
        }
        byte[] events = boundaries.get().addChunk(bytes);
        return events.length == 0 ? !finished : forward(events);
    }

    private boolean forward(byte[] bytes) {
        start();
        usage.add(bytes);
        recordBody(bytes);
        if (finished) {
            return false;
        }
        unwrittenBytes += bytes.length;
        caller.write(bytes);
        return true;
    }

    /** Records that bytes were written to the caller's connection. */
    void bytesWritten(int bytes) {
        unwrittenBytes = Math.max(0, unwrittenBytes - bytes);
    }

    /** Ends a complete response. */
    void complete() {
        byte[] remainder = boundaries.map(EventBoundaries::takeRemainder).orElse(new byte[0]);
        if (remainder.length > 0) {
            forward(remainder);
        }
        start();
        if (!finished) {
            finished = true;
            decisionLog.succeeded();
            caller.end();
        }
    }

    /** Sends a failure as the final response: as an error response, an error event, or an aborted connection. */
    void fail(BasilrillException failure, PlainResponse errorResponse) {
        if (finished) {
            return;
        }
        finished = true;
        decisionLog.failed(failure.code() + (started ? " after the response started" : ""), failure.getMessage());
        if (!started) {
            send(caller, requestId, errorResponse);
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

    /** Sends the recorded response of an order that has already run. */
    void replay(RecordedResponse response) {
        if (!finished) {
            finished = true;
            send(caller, requestId, PlainResponse.of(response.status(), response.contentType(), response.body()));
        }
    }

    /** Stops sending to a caller that disconnected. */
    void abandon() {
        if (!finished) {
            finished = true;
            decisionLog.abandoned();
            caller.abort();
        }
    }

    /** Returns the complete response as it is recorded for replays; empty unless the request is an order. */
    Optional<RecordedResponse> recorded() {
        if (!record || head == null) {
            return Optional.empty();
        }
        String type = head.header(ResponseHead.CONTENT_TYPE).orElse(PlainResponse.TEXT);
        byte[] body = tooLongToRecord ? new byte[0] : recorded.toByteArray();
        return Optional.of(new RecordedResponse(head.status(), type, body, !tooLongToRecord));
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        if (!finished) {
            caller.start(new ResponseHead(head.status(), messages.callerHeaders(head.headers())));
        }
    }

    private void recordBody(byte[] bytes) {
        if (!record || tooLongToRecord) {
            return;
        }
        if (recorded.size() + bytes.length > RecordedResponse.MAXIMUM_BODY_BYTES) {
            tooLongToRecord = true;
            recorded.reset();
            return;
        }
        recorded.writeBytes(bytes);
    }

    private static void send(CallerStream caller, String requestId, PlainResponse response) {
        List<HeaderField> headers = new ArrayList<>(response.headers());
        headers.add(new HeaderField(ResponseHead.CONTENT_TYPE, response.contentType()));
        headers.add(new HeaderField(ResponseHead.CONTENT_LENGTH, Integer.toString(response.body().length)));
        headers.add(new HeaderField(RequestHead.REQUEST_ID, requestId));
        caller.start(new ResponseHead(response.status(), headers));
        if (response.body().length > 0) {
            caller.write(response.body());
        }
        caller.end();
    }
}
