package org.basilrill.transport.http;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Predicate;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.LocalRoutes;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.caller.RunningRequest;
import org.basilrill.protocol.instance.RequestCoordinator;

/** Passes each request to the coordinator or to the routes that this instance serves itself. Thread safe. */
final class CallerRequestHandler implements GatewayRequestHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RequestCoordinator coordinator;
    private final LocalRoutes localRoutes;
    private final Predicate<RequestHead> isForTarget;

    /**
     * Creates the handler of the requests to one address.
     *
     * @param isForTarget selects the requests that are passed to the coordinator
     */
    CallerRequestHandler(RequestCoordinator coordinator, LocalRoutes localRoutes, Predicate<RequestHead> isForTarget) {
        this.coordinator = coordinator;
        this.localRoutes = localRoutes;
        this.isForTarget = isForTarget;
    }

    @Override
    public void check(RequestHead head) {
        if (isForTarget.test(head)) {
            coordinator.check(head);
        }
    }

    @Override
    public void reject(BasilrillException rejection, RequestHead head, CallerStream stream) {
        coordinator.refuse(rejection.withOutcome(Outcome.NOT_RUN), head, stream);
    }

    @Override
    public RunningRequest start(RequestHead head, byte[] body, CallerStream stream) {
        if (isForTarget.test(head)) {
            return coordinator.start(head, body, stream);
        }
        CompletableFuture<PlainResponse> response;
        try {
            response = localRoutes.handle(head, body);
        } catch (RuntimeException exception) {
            response = CompletableFuture.failedFuture(exception);
        }
        response.whenComplete((value, failure) -> send(failure == null ? value : errorResponse(failure), stream));
        return new LocalRequest();
    }

    private PlainResponse errorResponse(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof BasilrillException rejection) {
            return coordinator.errorResponse(rejection);
        }
        LOGGER.atSevere().withCause(cause).log("%s", LogEvent.INTERNAL_FAILURE);
        return coordinator.errorResponse(new BasilrillException(ErrorCode.INTERNAL, "unexpected failure", cause));
    }

    private static void send(PlainResponse response, CallerStream stream) {
        List<HeaderField> headers = new ArrayList<>(response.headers());
        headers.add(new HeaderField(ResponseHead.CONTENT_TYPE, response.contentType()));
        headers.add(new HeaderField(ResponseHead.CONTENT_LENGTH, Integer.toString(response.body().length)));
        stream.start(new ResponseHead(response.status(), headers));
        if (response.body().length > 0) {
            stream.write(response.body());
        }
        stream.end();
    }

    /** A request to a route of this instance, which cannot be cancelled. */
    private static final class LocalRequest implements RunningRequest {
        @Override
        public void bytesWritten(int bytes) {
            // The whole response is in memory, so it needs no flow control.
        }

        @Override
        public void callerDisconnected() {
            // The request is short and runs to its end.
        }
    }
}
