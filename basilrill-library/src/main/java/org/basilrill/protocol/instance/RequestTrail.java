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
import org.basilrill.state.target.TargetAnnouncement;

/**
 * The decisions on one request, written as one line once it ends: always if it failed or was abandoned, and for a share
 * of the others, chosen by the id so that all instances choose the same. Not thread safe.
 */
final class RequestTrail {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** Steps kept of one request; a request has a few attempts with three steps each. */
    private static final int MAXIMUM_STEPS = 24;
    /** One in this many requests that went well is written. */
    private static final int SAMPLED_ONE_IN = 64;

    private static final String ANSWERED = "ANSWERED";
    private static final String CALLER_GONE = "CALLER_GONE";

    private final RequestPlan plan;
    private final MonotonicClock clock;
    private final long startNanos;
    private final RequestMetrics metrics;
    private final List<Step> steps = new ArrayList<>();
    private long queuedNanos;

    RequestTrail(RequestPlan plan, MonotonicClock clock, RequestMetrics metrics) {
        this.plan = plan;
        this.clock = clock;
        this.metrics = metrics;
        startNanos = clock.nanos();
        queuedNanos = startNanos;
    }

    /** Notes a step that concerns no target. */
    void note(String what) {
        add(new Step(what, "", 0, elapsedMillis()));
    }

    /** Notes a step at a target, with the number of the announcement that it was chosen by. */
    void note(String what, TargetAnnouncement target) {
        add(new Step(what, target.id().value(), target.sequence(), elapsedMillis()));
    }

    /** Notes that a target was chosen and gets the request. */
    void sent(TargetAnnouncement target) {
        metrics.timed(plan.destination(), Phase.QUEUE, clock.nanos() - queuedNanos);
        note("sent to", target);
    }

    /** Notes that the connection to the target takes the request. */
    void connected(long sentNanos) {
        metrics.timed(plan.destination(), Phase.CONNECTION, clock.nanos() - sentNanos);
    }

    /** Notes that an attempt failed. */
    void attemptFailed(ErrorCode code, String detail, TargetAnnouncement target) {
        queuedNanos = clock.nanos();
        metrics.attempted(target.id(), code.name());
        note(code + " (" + detail + ") at", target);
    }

    /** Notes that an attempt brought the whole answer. */
    void attemptSucceeded(TargetAnnouncement target) {
        metrics.attempted(target.id(), ANSWERED);
    }

    /** Writes that the caller received a failure. */
    void failed(String code, String detail) {
        ended(code);
        LOGGER.atInfo().log("%s: %s", LogEvent.REQUEST_FAILED, line(code, detail));
    }

    /** Writes that the caller went away. */
    void abandoned() {
        ended(CALLER_GONE);
        LOGGER.atInfo().log("%s: %s", LogEvent.REQUEST_ABANDONED, line(CALLER_GONE, ""));
    }

    /** Writes that the caller received the whole answer of a target, if the request is sampled. */
    void answered() {
        ended(ANSWERED);
        if (Math.floorMod(plan.requestId().hashCode(), SAMPLED_ONE_IN) == 0) {
            LOGGER.atInfo().log("%s: %s", LogEvent.REQUEST_ANSWERED, line(ANSWERED, ""));
        }
    }

    private void ended(String outcome) {
        metrics.ended(plan, outcome);
        metrics.timed(plan.destination(), Phase.WHOLE, clock.nanos() - startNanos);
    }

    private void add(Step step) {
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
        line.put("priority", plan.priority());
        line.put("tokens", plan.chargedTokens());
        line.put("rules_revision", plan.rulesRevision());
        line.put("deadline_ms", plan.deadline().toMillis());
        line.put("total_ms", elapsedMillis());
        line.put("outcome", outcome);
        if (!detail.isEmpty()) {
            line.put("detail", detail);
        }
        ArrayNode written = line.putArray("steps");
        steps.forEach(step -> written.add(step.text()));
        return line.toString();
    }

    /** One decision: what, where, by which announcement and after which time. */
    private record Step(String what, String target, long announcement, long atMillis) {
        String text() {
            String where = target.isEmpty() ? "" : " " + target + " (announcement " + announcement + ")";
            return atMillis + " ms: " + what + where;
        }
    }
}
