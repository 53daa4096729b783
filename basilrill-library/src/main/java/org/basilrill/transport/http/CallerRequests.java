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
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.caller.PlainRoutes;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.instance.CallerStream;
import org.basilrill.protocol.instance.RequestCoordinator;
import org.basilrill.protocol.instance.RunningRequest;

/** Sends each request to the coordinator or to the routes that this instance serves itself. Thread safe. */
final class CallerRequests {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RequestCoordinator coordinator;
    private final PlainRoutes plainRoutes;
    private final Predicate<RequestHead> forTargets;

    /**
     * Creates the way of the requests at one address.
     *
     * @param forTargets which requests go to the coordinator
     */
    CallerRequests(RequestCoordinator coordinator, PlainRoutes plainRoutes, Predicate<RequestHead> forTargets) {
        this.coordinator = coordinator;
        this.plainRoutes = plainRoutes;
        this.forTargets = forTargets;
    }

    /** Checks a request before its body is read; throws a typed refusal. */
    void check(RequestHead head) {
        if (forTargets.test(head)) {
            coordinator.check(head);
        }
    }

    /** Sends a refusal of a request that was not handed over. */
    void refuse(BasilrillException refusal, RequestHead head, CallerStream stream) {
        coordinator.refuse(refusal.withOutcome(Outcome.NOT_RUN), head, stream);
    }

    RunningRequest start(RequestHead head, byte[] body, CallerStream stream) {
        if (forTargets.test(head)) {
            return coordinator.start(head, body, stream);
        }
        CompletableFuture<PlainAnswer> answer;
        try {
            answer = plainRoutes.answer(head, body);
        } catch (RuntimeException exception) {
            answer = CompletableFuture.failedFuture(exception);
        }
        answer.whenComplete((value, problem) -> send(problem == null ? value : failure(problem), stream));
        return new PlainRequest();
    }

    private PlainAnswer failure(Throwable problem) {
        Throwable cause = problem instanceof CompletionException ? problem.getCause() : problem;
        if (cause instanceof BasilrillException refusal) {
            return coordinator.refusal(refusal);
        }
        LOGGER.atSevere().withCause(cause).log("%s", LogEvent.INTERNAL_FAILURE);
        return coordinator.refusal(new BasilrillException(ErrorCode.INTERNAL, "unexpected failure", cause));
    }

    private static void send(PlainAnswer answer, CallerStream stream) {
        List<HeaderField> headers = new ArrayList<>(answer.headers());
        headers.add(new HeaderField(AnswerHead.CONTENT_TYPE, answer.contentType()));
        headers.add(new HeaderField(AnswerHead.CONTENT_LENGTH, Integer.toString(answer.body().length)));
        stream.start(new AnswerHead(answer.status(), headers));
        if (answer.body().length > 0) {
            stream.write(answer.body());
        }
        stream.end();
    }

    /** A request that cannot be cancelled. */
    private static final class PlainRequest implements RunningRequest {
        @Override
        public void taken(int bytes) {
            // The answer is complete already.
        }

        @Override
        public void callerGone() {
            // The work is short.
        }
    }
}
