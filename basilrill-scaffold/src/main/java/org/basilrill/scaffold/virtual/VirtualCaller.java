package org.basilrill.scaffold.virtual;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.caller.RunningRequest;

/** Records what one caller receives for its request, and checks the response. Not thread safe. */
public final class VirtualCaller implements CallerStream {
    private final MonotonicClock time;
    private final InstanceId instance;
    private final Call call;
    private final long startNanos;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final List<String> faults = new ArrayList<>();
    private Optional<RunningRequest> running = Optional.empty();
    private int status;
    private int unreportedBytes;
    private long firstByteNanos = -1;
    private long endNanos = -1;
    private boolean complete;
    private boolean disconnected;

    public VirtualCaller(MonotonicClock time, InstanceId instance, Call call) {
        this.time = time;
        this.instance = instance;
        this.call = call;
        this.startNanos = time.nanos();
    }

    /** A request. Its id is unique among all calls; its body is unique except among repeats of one order. */
    public record Call(
            String requestId,
            String key,
            String path,
            String body,
            Optional<String> idempotencyKey,
            Duration deadline) {
        /** Returns the HTTP head of the request. */
        public RequestHead head() {
            List<HeaderField> headers = new ArrayList<>();
            headers.add(new HeaderField(RequestHead.AUTHORIZATION, "Bearer " + key));
            headers.add(new HeaderField(RequestHead.REQUEST_ID, requestId));
            headers.add(new HeaderField(RequestHead.REQUEST_TIMEOUT, Long.toString(deadline.toMillis())));
            idempotencyKey.ifPresent(value -> headers.add(new HeaderField(RequestHead.IDEMPOTENCY_KEY, value)));
            return new RequestHead("POST", path, Optional.empty(), headers);
        }
    }

    /** Sets the handle through which the caller reports the bytes it has read. */
    public void attach(RunningRequest request) {
        running = Optional.of(request);
        reportRead(0);
    }

    /** Closes the caller's connection; no response is expected from then on. */
    public void disconnect() {
        if (endNanos < 0 && !disconnected) {
            disconnected = true;
            running.ifPresent(RunningRequest::callerDisconnected);
        }
    }

    /** Records that the instance process of the connection crashed. */
    public void connectionLost() {
        disconnected = true;
    }

    public Call call() {
        return call;
    }

    public InstanceId instance() {
        return instance;
    }

    /** Returns whether the response has ended or the connection was lost. */
    public boolean isFinished() {
        return endNanos >= 0 || disconnected;
    }

    /** Returns whether the complete response of the target was received. */
    public boolean succeeded() {
        return complete && status == 200 && !receivedText().contains("event: error");
    }

    /** Returns whether the request was denied because its key is not in the rules. */
    public boolean wasDenied() {
        return status == 401;
    }

    /** Returns whether the response states that the request did not run. */
    public boolean reportsNotRun() {
        return receivedText().contains("\"outcome\":\"not_run\"");
    }

    /** Returns the time of the request. */
    public long startNanos() {
        return startNanos;
    }

    /** Returns the time from the request to the end of the response, which must be finished. */
    public Duration elapsed() {
        return Duration.ofNanos(endNanos - startNanos);
    }

    /** Returns the body received so far. */
    public String receivedText() {
        return body.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void start(ResponseHead head) {
        addFaultUnless(firstByteNanos < 0 && endNanos < 0, "second response head");
        firstByteNanos = time.nanos();
        status = head.status();
    }

    @Override
    public void write(byte[] bytes) {
        addFaultUnless(firstByteNanos >= 0 && endNanos < 0, "bytes before the head or after the end of the response");
        body.writeBytes(bytes);
        reportRead(bytes.length);
    }

    @Override
    public void end() {
        addFaultUnless(firstByteNanos >= 0, "end without a response head");
        finish();
        complete = true;
    }

    @Override
    public void abort() {
        finish();
    }

    /**
     * Returns the faults of the response, if there are any.
     *
     * @param expected the complete response of the target to this request
     * @param firstByteMargin longest allowed time from the deadline to the first byte
     * @param endMargin longest allowed time from the deadline to the end of the response
     */
    public Optional<String> violation(String expected, Duration firstByteMargin, Duration endMargin) {
        if (!disconnected) {
            long deadline = startNanos + call.deadline().toNanos();
            addFaultUnless(endNanos >= 0, "response did not end");
            addFaultUnless(firstByteNanos <= deadline + firstByteMargin.toNanos(), "first byte after the deadline");
            addFaultUnless(endNanos <= deadline + endMargin.toNanos(), "response ended after the deadline");
        }
        if (succeeded()) {
            addFaultUnless(receivedText().equals(expected), "not the complete response to this request");
        } else if (status == 200) {
            String received = receivedText().split("\n\nevent: error")[0];
            addFaultUnless(expected.startsWith(received), "part of the response to another request");
        } else if (complete) {
            addFaultUnless(receivedText().startsWith("{\"error\":{\"code\""), "refusal without an error code");
        }
        return faults.isEmpty() ? Optional.empty() : Optional.of(this + ": " + faults);
    }

    @Override
    public String toString() {
        return String.format(
                "call %s at %s from %d to %d ms, status %d, %s",
                call.requestId(), instance, startNanos / 1_000_000, endNanos / 1_000_000, status, receivedText());
    }

    private void finish() {
        addFaultUnless(endNanos < 0, "second end of the response");
        endNanos = time.nanos();
    }

    private void reportRead(int bytes) {
        unreportedBytes += bytes;
        if (running.isPresent() && unreportedBytes > 0) {
            int readBytes = unreportedBytes;
            unreportedBytes = 0;
            running.get().bytesWritten(readBytes);
        }
    }

    private void addFaultUnless(boolean holds, String fault) {
        if (!holds) {
            faults.add(fault);
        }
    }
}
