package org.basilrill.protocol.instance;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.protocol.caller.ErrorBody;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.state.control.ControlView;

/**
 * Runs the requests of callers. Every caller stream handed over receives exactly one final answer, and a refusal that
 * says {@code not_run} is true. Free of sockets and threads; thread safe.
 */
public final class RequestCoordinator {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Another instance may serve the request at once; the pause spares the callers a second refusal here. */
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(500);

    private static final String STOPPING = "this instance is stopping";

    private final RequestServices services;
    private final RequestMetrics metrics;
    private final Planner planner;
    private final StartingRequests starting;
    private final Set<RequestExchange> running = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private volatile boolean draining;

    public RequestCoordinator(RequestServices services) {
        this.services = services;
        metrics = new RequestMetrics(services.metrics());
        planner = services.dialect()
                .<Planner>map(dialect -> new RoutePlanner(dialect, services.random()))
                .orElseGet(() -> new RequestPlanner(services.limits(), new RequestIdentifiers(services.random())));
        starting = new StartingRequests(
                () -> services.control().isCurrent()
                        && services.control().view().rules().revision() > 0,
                services.clock(),
                services.scheduler());
        services.control().onView(this::viewChanged);
    }

    /**
     * Checks a request by its head, before its body is read.
     *
     * @throws BasilrillException if the request is refused; nothing ran
     */
    public void check(RequestHead head) {
        if (starting.isOpen()) {
            return;
        }
        authorize(head, services.control().view());
    }

    /** Runs a request. A refusal is sent to the caller's stream; nothing is thrown. */
    public RunningRequest start(RequestHead head, byte[] body, CallerStream caller) {
        if (!starting.isOpen()) {
            return start(head, body, caller, Duration.ZERO);
        }
        Optional<Duration> timeLeft;
        try {
            timeLeft = planner.timeLeft(head);
        } catch (BasilrillException invalid) {
            return refuse(invalid.withOutcome(Outcome.NOT_RUN), head, caller);
        }
        return starting.keep(keptFor -> start(head, body, caller, keptFor), caller, timeLeft);
    }

    private RunningRequest start(RequestHead head, byte[] body, CallerStream caller, Duration keptFor) {
        ControlView view = services.control().view();
        RequestPlan plan;
        try {
            Planner.Authorization authorization = authorize(head, view);
            plan = authorization.plan(body).after(keptFor);
            requireNotSuspect(plan, view);
        } catch (BasilrillException failure) {
            return refuse(failure.withOutcome(Outcome.NOT_RUN), head, caller);
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("%s", LogEvent.INTERNAL_FAILURE);
            BasilrillException failure = new BasilrillException(ErrorCode.INTERNAL, "unexpected failure", exception);
            return refuse(failure.withOutcome(Outcome.NOT_RUN), head, caller);
        }
        RequestExchange exchange = new RequestExchange(services, metrics, plan, caller, this::refusal, this::closed);
        running.add(exchange);
        if (draining) {
            // The drain may have found nothing running before this request was added.
            closed(exchange);
            return refuse(new BasilrillException(ErrorCode.INSTANCE_DRAINING, STOPPING), head, caller);
        }
        exchange.begin();
        // A view installed since the rules were read was not applied to this request.
        exchange.viewChanged(services.control().view());
        return exchange;
    }

    /** Returns a failure as an answer; names other instances where this one takes no requests. */
    public PlainAnswer refusal(BasilrillException failure) {
        if (services.dialect().isPresent()) {
            return services.dialect().get().refusal(failure);
        }
        PlainAnswer answer = ErrorBody.answer(failure);
        boolean elsewhere =
                failure.code() == ErrorCode.INSTANCE_NOT_CURRENT || failure.code() == ErrorCode.INSTANCE_DRAINING;
        if (!elsewhere) {
            return answer;
        }
        ObjectNode body = ErrorBody.json(failure);
        services.otherInstances().get().forEach(body.putArray("instances")::add);
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        return new PlainAnswer(answer.status(), answer.contentType(), answer.headers(), bytes);
    }

    /** Returns the number of requests that run, including orders whose callers are gone. */
    public int requestsInFlight() {
        return running.size();
    }

    /** Refuses new requests from now on; returns a future that completes once none runs any more. */
    public CompletableFuture<Void> drain() {
        draining = true;
        completeIfIdle();
        return idle;
    }

    /** Returns whether new requests are refused because the instance stops. */
    public boolean isDraining() {
        return draining;
    }

    /** Ends all running requests with a failure. */
    public void stopAll() {
        List.copyOf(running).forEach(RequestExchange::stop);
    }

    private Planner.Authorization authorize(RequestHead head, ControlView view) {
        try {
            Planner.Authorization authorization = planner.authorize(head, view.rules());
            requireOpen();
            return authorization;
        } catch (BasilrillException failure) {
            // An instance that is not current may not know the key yet.
            if (failure.code() == ErrorCode.KEY_UNKNOWN) {
                requireOpen();
            }
            throw failure;
        }
    }

    private void requireOpen() {
        if (draining) {
            throw new BasilrillException(ErrorCode.INSTANCE_DRAINING, STOPPING);
        }
        if (!services.control().isCurrent()) {
            throw new BasilrillException(
                            ErrorCode.INSTANCE_NOT_CURRENT, "this instance cannot confirm its rules; use another one")
                    .withRetryAfter(RETRY_ELSEWHERE);
        }
    }

    private void requireNotSuspect(RequestPlan plan, ControlView view) {
        if (view.blockedFingerprints().contains(plan.fingerprint())
                || services.blockedRequests().contains(plan.fingerprint())) {
            throw new BasilrillException(ErrorCode.CRASH_SUSPECT, CrashReports.SUSPECT);
        }
    }

    /** Sends a refusal of a request that was not started. */
    public RunningRequest refuse(BasilrillException failure, RequestHead head, CallerStream caller) {
        metrics.failed(failure.code());
        LOGGER.atInfo().log(
                "%s: %s %s, %s %s: %s",
                LogEvent.REQUEST_REFUSED,
                planner.requestId(head),
                failure.code(),
                head.method(),
                head.path(),
                failure.getMessage());
        AnswerRelay.refuse(caller, planner.requestId(head), refusal(failure));
        return new RefusedRequest();
    }

    private void viewChanged(ControlView view) {
        long cancelled =
                running.stream().filter(exchange -> exchange.viewChanged(view)).count();
        if (cancelled > 0) {
            LOGGER.atInfo().log("%s: %d", LogEvent.REQUESTS_CANCELLED, cancelled);
        }
    }

    private void closed(RequestExchange exchange) {
        running.remove(exchange);
        completeIfIdle();
    }

    private void completeIfIdle() {
        if (draining && running.isEmpty()) {
            idle.complete(null);
        }
    }

    /** A request that has its final answer already. */
    private static final class RefusedRequest implements RunningRequest {
        @Override
        public void taken(int bytes) {
            // Nothing waits for the caller.
        }

        @Override
        public void callerGone() {
            // Nothing runs.
        }
    }
}
