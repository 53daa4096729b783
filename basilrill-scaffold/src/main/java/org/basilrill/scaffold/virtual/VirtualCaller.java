package org.basilrill.scaffold.virtual;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.instance.CallerStream;
import org.basilrill.protocol.instance.RunningRequest;

/** One call with all that its caller received, and the check of it. Not thread safe. */
public final class VirtualCaller implements CallerStream {
    private final MonotonicClock time;
    private final InstanceId instance;
    private final Call call;
    private final long startNanos;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final List<String> faults = new ArrayList<>();
    private Optional<RunningRequest> running = Optional.empty();
    private int status;
    private int untaken;
    private long firstNanos = -1;
    private long finalNanos = -1;
    private boolean complete;
    private boolean gone;

    public VirtualCaller(MonotonicClock time, InstanceId instance, Call call) {
        this.time = time;
        this.instance = instance;
        this.call = call;
        this.startNanos = time.nanos();
    }

    /** What is asked; the request id is unique among all calls, the body among all but repeated orders. */
    public record Call(
            String requestId,
            String key,
            String path,
            String body,
            Optional<String> idempotencyKey,
            Duration deadline) {
        /** Returns the head of the request. */
        public RequestHead head() {
            List<HeaderField> headers = new ArrayList<>();
            headers.add(new HeaderField(RequestHead.AUTHORIZATION, "Bearer " + key));
            headers.add(new HeaderField(RequestHead.REQUEST_ID, requestId));
            headers.add(new HeaderField(RequestHead.REQUEST_TIMEOUT, Long.toString(deadline.toMillis())));
            idempotencyKey.ifPresent(value -> headers.add(new HeaderField(RequestHead.IDEMPOTENCY_KEY, value)));
            return new RequestHead("POST", path, Optional.empty(), headers);
        }
    }

    /** Takes the handle by which the caller reports what it read. */
    public void startedAs(RunningRequest request) {
        running = Optional.of(request);
        take(0);
    }

    /** Hangs up; the caller expects no answer any more. */
    public void hangUp() {
        if (finalNanos < 0 && !gone) {
            gone = true;
            running.ifPresent(RunningRequest::callerGone);
        }
    }

    /** Notes that the process that held the connection crashed. */
    public void connectionLost() {
        gone = true;
    }

    public Call call() {
        return call;
    }

    public InstanceId instance() {
        return instance;
    }

    /** Returns whether the final answer came, or never will. */
    public boolean isOver() {
        return finalNanos >= 0 || gone;
    }

    /** Returns whether the target's answer came complete. */
    public boolean succeeded() {
        return complete && status == 200 && !text().contains("event: error");
    }

    /** Returns whether the final answer says that nothing ran. */
    public boolean saysNotRun() {
        return text().contains("\"outcome\":\"not_run\"");
    }

    /** Returns what the caller received, for reports. */
    public String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void start(AnswerHead head) {
        note(firstNanos < 0 && finalNanos < 0, "second start");
        firstNanos = time.nanos();
        status = head.status();
    }

    @Override
    public void write(byte[] bytes) {
        note(firstNanos >= 0 && finalNanos < 0, "bytes outside of the answer");
        body.writeBytes(bytes);
        take(bytes.length);
    }

    @Override
    public void end() {
        note(firstNanos >= 0, "end without a head");
        finish();
        complete = true;
    }

    @Override
    public void abort() {
        finish();
    }

    /**
     * Returns what is wrong with the answer.
     *
     * @param expected the whole answer of the target to this request
     * @param toFirst longest time from the deadline to the first byte
     * @param toFinal longest time from the deadline to the end
     */
    public Optional<String> violation(String expected, Duration toFirst, Duration toFinal) {
        if (!gone) {
            long deadline = startNanos + call.deadline().toNanos();
            note(finalNanos >= 0, "no final answer");
            note(firstNanos <= deadline + toFirst.toNanos(), "first byte after the deadline");
            note(finalNanos <= deadline + toFinal.toNanos(), "final answer after the deadline");
        }
        if (succeeded()) {
            note(text().equals(expected), "not the whole answer to this request");
        } else if (status == 200) {
            String received = text().split("\n\nevent: error")[0];
            note(expected.startsWith(received), "part of another answer");
        } else if (complete) {
            note(text().startsWith("{\"error\":{\"code\""), "untyped refusal");
        }
        return faults.isEmpty() ? Optional.empty() : Optional.of(this + ": " + faults);
    }

    @Override
    public String toString() {
        return String.format(
                "call %s at %s from %d to %d ms, status %d, %s",
                call.requestId(), instance, startNanos / 1_000_000, finalNanos / 1_000_000, status, text());
    }

    private void finish() {
        note(finalNanos < 0, "second final answer");
        finalNanos = time.nanos();
    }

    private void take(int bytes) {
        untaken += bytes;
        if (running.isPresent() && untaken > 0) {
            int taken = untaken;
            untaken = 0;
            running.get().taken(taken);
        }
    }

    private void note(boolean holds, String fault) {
        if (!holds) {
            faults.add(fault);
        }
    }
}
