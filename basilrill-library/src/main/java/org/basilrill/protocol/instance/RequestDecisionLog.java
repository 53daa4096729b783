package org.basilrill.protocol.instance;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.protocol.instance.RequestMetrics.Phase;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Collects the decisions on one request and logs them as one line when the request ends. Failed and abandoned requests
 * are always logged; the others are sampled by their ID, so that all instances log the same ones. Also updates the
 * metrics of the request. Not thread safe.
 */
final class RequestDecisionLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** Maximum number of steps logged per request; a request has a few attempts with three steps each. */
    private static final int MAXIMUM_STEPS = 24;
    /** One in this many successful requests is logged. */
    private static final int SAMPLING_INTERVAL = 64;

    private static final String ANSWERED = "ANSWERED";
    private static final String CALLER_GONE = "CALLER_GONE";

    private final RequestPlan plan;
    private final MonotonicClock clock;
    private final long startNanos;
    private final RequestMetrics metrics;
    private final List<Step> steps = new ArrayList<>();
    private long queuedNanos;

    RequestDecisionLog(RequestPlan plan, MonotonicClock clock, RequestMetrics metrics) {
        this.plan = plan;
        this.clock = clock;
        this.metrics = metrics;
        startNanos = clock.nanos();
        queuedNanos = startNanos;
    }

    /** Adds a step that concerns no target. */
    void addStep(String description) {
        appendStep(new Step(description, "", 0, elapsedMillis()));
    }

    /** Adds a step at a target, with the sequence number of the announcement by which the target was chosen. */
    void addStep(String description, TargetAnnouncement target) {
        appendStep(new Step(description, target.id().value(), target.sequence(), elapsedMillis()));
    }

    /** Records that a target was chosen for the next attempt. */
    void sent(TargetAnnouncement target) {
        metrics.recordDuration(plan.destination(), Phase.QUEUE, clock.nanos() - queuedNanos);
        addStep(
                "sent to"
                        + target.softwareVersion()
                                .map(version -> " version " + version + " at")
                                .orElse(""),
                target);
    }

    /** Records that the connection to the target is ready to send the request. */
    void connected(long sentNanos) {
        metrics.recordDuration(plan.destination(), Phase.CONNECTION, clock.nanos() - sentNanos);
    }

    /** Records that the request is sent to a target that accepts a stated number of requests per second. */
    void sentToLimitedTarget(TargetAnnouncement target, RequestRate rate) {
        metrics.countLimitedRequest(target.id());
        addStep("limit of " + rate.perSecond() + " per second at", target);
    }

    /** Records that an attempt failed. */
    void attemptFailed(ErrorCode code, String detail, TargetAnnouncement target) {
        queuedNanos = clock.nanos();
        metrics.countAttempt(target.id(), code.name());
        addStep(code + " (" + detail + ") at", target);
    }

    /** Records that an attempt received the complete response. */
    void attemptSucceeded(TargetAnnouncement target) {
        metrics.countAttempt(target.id(), ANSWERED);
    }

    /** Logs that a failure was sent to the caller. */
    void failed(String code, String detail) {
        recordOutcome(code);
        LOGGER.atInfo().log("%s: %s", LogEvent.REQUEST_FAILED, line(code, detail));
    }

    /** Logs that the caller disconnected. */
    void abandoned() {
        recordOutcome(CALLER_GONE);
        LOGGER.atInfo().log("%s: %s", LogEvent.REQUEST_ABANDONED, line(CALLER_GONE, ""));
    }

    /** Logs that the complete response of a target was sent to the caller, if the request is sampled. */
    void succeeded() {
        recordOutcome(ANSWERED);
        if (Math.floorMod(plan.requestId().hashCode(), SAMPLING_INTERVAL) == 0) {
            LOGGER.atInfo().log("%s: %s", LogEvent.REQUEST_ANSWERED, line(ANSWERED, ""));
        }
    }

    private void recordOutcome(String outcome) {
        metrics.countOutcome(plan, outcome);
        metrics.recordDuration(plan.destination(), Phase.WHOLE, clock.nanos() - startNanos);
    }

    private void appendStep(Step step) {
        if (steps.size() < MAXIMUM_STEPS) {
            steps.add(step);
        }
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanos() - startNanos);
    }

    private String line(String outcome, String detail) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("request", plan.requestId());
        plan.account().ifPresent(account -> line.put("account", account.value()));
        plan.destination().service().ifPresent(service -> line.put("service", service));
        plan.destination().model().ifPresent(model -> line.put("model", model.value()));
        line.put("path", plan.head().path());
        if (!plan.sharedParts().isEmpty()) {
            line.put("prompt_parts", plan.sharedParts().toString());
        }
        plan.resumption()
                .ifPresent(
                        resumed -> line.put("resumes", resumed.firstRequestId().orElse(""))
                                .put("last_event", resumed.lastEventId()));
        line.put("priority", plan.priority());
        line.put("tokens", plan.chargedTokens());
        line.put("rules_revision", plan.rulesRevision());
        line.put("deadline_ms", plan.deadline().toMillis());
        line.put("total_ms", elapsedMillis());
        line.put("outcome", outcome);
        if (!detail.isEmpty()) {
            line.put("detail", detail);
        }
        ArrayNode stepTexts = line.putArray("steps");
        steps.forEach(step -> stepTexts.add(step.text()));
        return line.toString();
    }

    /** One decision with its target, the number of the target's announcement, and the time since the start. */
    private record Step(String description, String target, long announcement, long atMillis) {
        String text() {
            String location = target.isEmpty() ? "" : " " + target + " (announcement " + announcement + ")";
            return atMillis + " ms: " + description + location;
        }
    }
}
