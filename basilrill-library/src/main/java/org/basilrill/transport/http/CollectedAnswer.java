package org.basilrill.transport.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.instance.TargetConnector;

/**
 * Collects one short answer. Used for target orders and by operators' programs, never on the way of a caller's
 * request. Thread safe: the events of a call come one at a time.
 */
final class CollectedAnswer implements TargetConnector.Listener {
    /** Long enough for the rules of a deployment, which operators' programs read. */
    private static final int MAXIMUM_BYTES = 16 * 1024 * 1024;
    /** Long enough for the report of an engine with hundreds of models; many engines report at a time. */
    private static final int MAXIMUM_REPORT_BYTES = 256 * 1024;

    private final int maximumBytes;
    private final CompletableFuture<PlainAnswer> answer = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile TargetConnector.Call call;
    private volatile boolean sent;
    private AnswerHead head;

    private CollectedAnswer(int maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Sends a request on a fresh connection.
     *
     * @return the answer; fails with {@code TARGET_UNREACHABLE}, {@code TARGET_FAILED} or {@code TARGET_TIMEOUT}
     */
    static CompletableFuture<PlainAnswer> of(
            TargetHttpClient client,
            Scheduler scheduler,
            HttpHost host,
            TargetConnector.Request request,
            Duration timeout) {
        return new CollectedAnswer(MAXIMUM_BYTES).send(client, scheduler, host, request, timeout, true);
    }

    /** Sends a request that may be lost, with a short answer, on a connection that was used before; see {@link #of}. */
    static CompletableFuture<PlainAnswer> onKeptConnection(
            TargetHttpClient client,
            Scheduler scheduler,
            HttpHost host,
            TargetConnector.Request request,
            Duration timeout) {
        return new CollectedAnswer(MAXIMUM_REPORT_BYTES).send(client, scheduler, host, request, timeout, false);
    }

    private CompletableFuture<PlainAnswer> send(
            TargetHttpClient client,
            Scheduler scheduler,
            HttpHost host,
            TargetConnector.Request request,
            Duration timeout,
            boolean freshConnection) {
        call = client.open(host, request, freshConnection, this);
        Scheduler.Cancellable timer = scheduler.schedule(timeout, this::timedOut);
        answer.whenComplete((value, problem) -> {
            timer.cancel();
            if (problem != null) {
                call.cancel();
            }
        });
        return answer;
    }

    @Override
    public boolean maySend() {
        sent = true;
        return !answer.isDone();
    }

    @Override
    public void answered(AnswerHead received) {
        head = received;
    }

    @Override
    public void received(byte[] bytes) {
        if (body.size() + bytes.length > maximumBytes) {
            fail(ErrorCode.TARGET_FAILED, "the answer exceeds " + maximumBytes + " bytes");
            return;
        }
        body.writeBytes(bytes);
        TargetConnector.Call open = call;
        if (open != null) {
            open.grant(bytes.length);
        }
    }

    @Override
    public void ended() {
        String type = head.header(AnswerHead.CONTENT_TYPE).orElse("");
        answer.complete(new PlainAnswer(head.status(), type, head.headers(), body.toByteArray()));
    }

    @Override
    public void failed(TargetConnector.Failure failure) {
        boolean unreachable = failure.kind() == TargetConnector.Kind.UNREACHABLE;
        fail(unreachable ? ErrorCode.TARGET_UNREACHABLE : ErrorCode.TARGET_FAILED, failure.detail());
    }

    private void timedOut() {
        fail(ErrorCode.TARGET_TIMEOUT, "no complete answer in time");
    }

    private void fail(ErrorCode code, String detail) {
        Outcome outcome = sent ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN;
        answer.completeExceptionally(new BasilrillException(code, detail).withOutcome(outcome));
    }
}
