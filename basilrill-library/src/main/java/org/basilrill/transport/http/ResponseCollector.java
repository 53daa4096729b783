package org.basilrill.transport.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;

/**
 * Sends one request and collects the whole response in memory. Used for target orders, reports and operators' programs,
 * never for requests of callers. Thread safe: the events of a call are delivered one at a time.
 */
final class ResponseCollector implements TargetConnector.Listener {
    /** Sufficient for the rules of a deployment, which operators' programs read. */
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;
    /** Sufficient for the report of an engine with hundreds of models. Small, because many targets respond at once. */
    private static final int MAXIMUM_TARGET_RESPONSE_BYTES = 256 * 1024;

    private final int maximumBytes;
    private final CompletableFuture<PlainResponse> response = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile TargetConnector.Call call;
    private volatile boolean sent;
    private ResponseHead head;

    private ResponseCollector(int maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Sends a request on a new connection.
     *
     * @return the response; fails with {@code TARGET_UNREACHABLE}, {@code TARGET_FAILED} or {@code TARGET_TIMEOUT}
     */
    static CompletableFuture<PlainResponse> sendOnNewConnection(
            TargetHttpClient client,
            Scheduler scheduler,
            HttpHost host,
            TargetConnector.Request request,
            Duration timeout) {
        return new ResponseCollector(MAXIMUM_RESPONSE_BYTES)
                .send(client, scheduler, host, request, timeout, ConnectionPurpose.SINGLE);
    }

    /** Sends an order to a target on a new connection; see {@link #sendOnNewConnection}. */
    static CompletableFuture<PlainResponse> sendOrder(
            TargetHttpClient client,
            Scheduler scheduler,
            HttpHost host,
            TargetConnector.Request request,
            Duration timeout) {
        return new ResponseCollector(MAXIMUM_TARGET_RESPONSE_BYTES)
                .send(client, scheduler, host, request, timeout, ConnectionPurpose.SINGLE);
    }

    /**
     * Sends a request that may be lost and has a short response, on an idle connection of the purpose if there is one;
     * see {@link #sendOnNewConnection}.
     */
    static CompletableFuture<PlainResponse> sendOnReusedConnection(
            TargetHttpClient client,
            Scheduler scheduler,
            HttpHost host,
            ConnectionPurpose purpose,
            TargetConnector.Request request,
            Duration timeout) {
        return new ResponseCollector(MAXIMUM_TARGET_RESPONSE_BYTES)
                .send(client, scheduler, host, request, timeout, purpose);
    }

    private CompletableFuture<PlainResponse> send(
            TargetHttpClient client,
            Scheduler scheduler,
            HttpHost host,
            TargetConnector.Request request,
            Duration timeout,
            ConnectionPurpose purpose) {
        call = client.open(host, purpose, request, this);
        Scheduler.Cancellable timer = scheduler.schedule(timeout, this::timedOut);
        response.whenComplete((value, failure) -> {
            timer.cancel();
            if (failure != null) {
                call.cancel();
            }
        });
        return response;
    }

    @Override
    public boolean maySend() {
        sent = true;
        return !response.isDone();
    }

    @Override
    public void headReceived(ResponseHead received) {
        head = received;
    }

    @Override
    public void bodyReceived(byte[] bytes) {
        if (body.size() + bytes.length > maximumBytes) {
            fail(ErrorCode.TARGET_FAILED, "the response exceeds " + maximumBytes + " bytes");
            return;
        }
        body.writeBytes(bytes);
        TargetConnector.Call openCall = call;
        if (openCall != null) {
            openCall.extendWindow(bytes.length);
        }
    }

    @Override
    public void responseCompleted() {
        String type = head.header(ResponseHead.CONTENT_TYPE).orElse("");
        response.complete(new PlainResponse(head.status(), type, head.headers(), body.toByteArray()));
    }

    @Override
    public void failed(TargetConnector.Failure failure) {
        boolean unreachable = failure.kind() == TargetConnector.FailureKind.UNREACHABLE;
        fail(unreachable ? ErrorCode.TARGET_UNREACHABLE : ErrorCode.TARGET_FAILED, failure.detail());
    }

    private void timedOut() {
        fail(ErrorCode.TARGET_TIMEOUT, "no complete response before the timeout");
    }

    private void fail(ErrorCode code, String detail) {
        Outcome outcome = sent ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN;
        response.completeExceptionally(new BasilrillException(code, detail).withOutcome(outcome));
    }
}
