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
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.ErrorBody;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.RuleDecisions;
import org.basilrill.protocol.caller.RunningRequest;
import org.basilrill.state.control.ControlView;

/**
 * Runs the requests of callers. Every caller stream receives exactly one final response. A request whose error response
 * states {@code not_run} has not run at any target. Uses no sockets and starts no threads; thread safe.
 */
public final class RequestCoordinator {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final String STOPPING = "this instance is stopping";

    private final RequestServices services;
    private final RequestMetrics metrics;
    private final Planner planner;
    private final RuleDecisions ruleDecisions;
    private final StartupQueue startupQueue;
    private final Set<RequestExchange> running = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean draining;

    public RequestCoordinator(RequestServices services) {
        this.services = services;
        metrics = new RequestMetrics(services.metrics());
        planner = services.dialect()
                .<Planner>map(dialect -> new RoutePlanner(dialect, services.regions(), services.random()))
                .orElseGet(() -> new RequestPlanner(
                        services.limits(), services.regions(), new IdentifierGenerator(services.random())));
        ruleDecisions = new RuleDecisions(services.control());
        startupQueue = new StartupQueue(
                () -> services.control().isCurrent()
                        && services.control().view().rules().revision() > 0,
                services.clock(),
                services.scheduler());
        services.control().onView(this::viewChanged);
        metrics.registerBlocked(services.suspects()::blockedParts, services.suspects()::blockedRequests);
    }

    /**
     * Checks a request by its head, before its body is read.
     *
     * @throws BasilrillException if the request is refused; it has not run
     */
    public void check(RequestHead head) {
        if (startupQueue.isQueueing()) {
            return;
        }
        authorize(head, services.control().view());
    }

    /** Runs a request. A refusal is sent to the caller's stream instead of being thrown. */
    public RunningRequest start(RequestHead head, byte[] body, CallerStream caller) {
        if (!startupQueue.isQueueing()) {
            return start(head, body, caller, Duration.ZERO);
        }
        Optional<Duration> remainingTime;
        try {
            remainingTime = planner.remainingTime(head);
        } catch (BasilrillException invalid) {
            return refuse(invalid.withOutcome(Outcome.NOT_RUN), head, caller);
        }
        return startupQueue.enqueue(queuedFor -> start(head, body, caller, queuedFor), caller, remainingTime);
    }

    private RunningRequest start(RequestHead head, byte[] body, CallerStream caller, Duration queuedFor) {
        ControlView view = services.control().view();
        RequestPlan plan;
        try {
            Planner.Authorization authorization = authorize(head, view);
            plan = ruleDecisions.decide(view, () -> authorization.plan(body)).afterWaiting(queuedFor);
            CrashGuard.requireNotBlocked(services, plan);
        } catch (BasilrillException failure) {
            return refuse(failure.withOutcome(Outcome.NOT_RUN), head, caller);
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("%s", LogEvent.INTERNAL_FAILURE);
            BasilrillException failure = new BasilrillException(ErrorCode.INTERNAL, "unexpected failure", exception);
            return refuse(failure.withOutcome(Outcome.NOT_RUN), head, caller);
        }
        RequestExchange exchange =
                new RequestExchange(services, metrics, plan, caller, this::errorResponse, this::exchangeClosed);
        running.add(exchange);
        if (draining) {
            // The drain may have completed before this request was added.
            exchangeClosed(exchange);
            return refuse(new BasilrillException(ErrorCode.INSTANCE_DRAINING, STOPPING), head, caller);
        }
        exchange.begin();
        // A view that was installed after the rules were read has not been applied to this request yet.
        exchange.viewChanged(services.control().view());
        return exchange;
    }

    /** Returns the error response for a failure; lists other instances if this one accepts no requests. */
    public PlainResponse errorResponse(BasilrillException failure) {
        if (services.dialect().isPresent()) {
            return services.dialect().get().errorResponse(failure);
        }
        PlainResponse response = ErrorBody.response(failure);
        boolean servedElsewhere =
                failure.code() == ErrorCode.INSTANCE_NOT_CURRENT || failure.code() == ErrorCode.INSTANCE_DRAINING;
        if (!servedElsewhere) {
            return response;
        }
        ObjectNode body = ErrorBody.json(failure);
        services.otherInstances().get().forEach(body.putArray("instances")::add);
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        return new PlainResponse(response.status(), response.contentType(), response.headers(), bytes);
    }

    /** Returns the number of running requests, including orders whose callers have disconnected. */
    public int requestsInFlight() {
        return running.size();
    }

    /** Refuses new requests from now on; returns a future that completes once no request is running. */
    public CompletableFuture<Void> drain() {
        draining = true;
        completeDrainIfEmpty();
        return drained;
    }

    /** Returns whether new requests are refused because the instance is stopping. */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Refuses all requests that are not at a target, so that their callers have time to send them elsewhere, and starts
     * no further attempt.
     */
    public void startNoAttempts() {
        List.copyOf(running).forEach(RequestExchange::startNoAttempt);
    }

    /** Fails all running requests. */
    public void stopAll() {
        List.copyOf(running).forEach(RequestExchange::stop);
    }

    private Planner.Authorization authorize(RequestHead head, ControlView view) {
        Planner.Authorization authorization = ruleDecisions.decide(view, () -> planner.authorize(head, view.rules()));
        requireAcceptingRequests();
        return authorization;
    }

    private void requireAcceptingRequests() {
        if (draining) {
            throw new BasilrillException(ErrorCode.INSTANCE_DRAINING, STOPPING);
        }
        ruleDecisions.requireCurrent();
    }

    /** Sends the error response of a request that was not started. */
    public RunningRequest refuse(BasilrillException failure, RequestHead head, CallerStream caller) {
        metrics.failed(failure.code());
        LOGGER.atInfo().log(
                "%s: %s %s, %s %s: %s (%s)",
                LogEvent.REQUEST_REFUSED,
                planner.requestId(head),
                failure.code(),
                head.method(),
                head.path(),
                failure.getMessage(),
                ruleDecisions.describe());
        ResponseRelay.sendRefusal(caller, planner.requestId(head), errorResponse(failure));
        return new RefusedRequest();
    }

    private void viewChanged(ControlView view) {
        long cancelled =
                running.stream().filter(exchange -> exchange.viewChanged(view)).count();
        if (cancelled > 0) {
            LOGGER.atInfo().log("%s: %d", LogEvent.REQUESTS_CANCELLED, cancelled);
        }
    }

    private void exchangeClosed(RequestExchange exchange) {
        running.remove(exchange);
        completeDrainIfEmpty();
    }

    private void completeDrainIfEmpty() {
        if (draining && running.isEmpty()) {
            drained.complete(null);
        }
    }

    /** A request whose final response was already sent. */
    private static final class RefusedRequest implements RunningRequest {
        @Override
        public void bytesWritten(int bytes) {
            // No target sends a body.
        }

        @Override
        public void callerDisconnected() {
            // The request does not run.
        }
    }
}
