package org.basilrill.protocol.instance;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.basilrill.api.AccountId;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.protocol.observation.BoundedLabel;
import org.basilrill.protocol.observation.LatencyHistogram;
import org.basilrill.protocol.observation.SeriesName;
import org.basilrill.protocol.observation.SeriesName.Label;

/** Counts and times requests. Thread safe. */
final class RequestMetrics {
    /** Maximum number of services, accounts or targets with a separate time series. */
    private static final int MAXIMUM_LABEL_VALUES = 64;

    private static final String MODELS = "models";

    private final MetricRegistry registry;
    private final Meter requests;
    private final Counter running;
    private final Timer firstByte;
    private final Meter retries;
    /** By service and phase, so that an observation creates no name. Bounded like the labels. */
    private final Map<String, Map<Phase, LatencyHistogram>> latencies = new ConcurrentHashMap<>();
    /** By family and the values of the labels, for the same reason. */
    private final Map<Series, Counter> counters = new ConcurrentHashMap<>();

    private final BoundedLabel services = new BoundedLabel("service", MAXIMUM_LABEL_VALUES);
    private final BoundedLabel accounts = new BoundedLabel("account", MAXIMUM_LABEL_VALUES);
    private final BoundedLabel targets = new BoundedLabel("target", MAXIMUM_LABEL_VALUES);

    RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
        requests = registry.meter("requests.started");
        running = registry.counter("requests.running");
        firstByte = registry.timer("requests.first-byte");
        retries = registry.meter("requests.retries");
    }

    /** Exports the numbers of prompt parts and of whole requests that are blocked because they crash targets. */
    void registerBlocked(IntSupplier parts, IntSupplier requests) {
        registry.registerGauge("prompt_parts.blocked", parts::getAsInt);
        registry.registerGauge("requests.blocked", requests::getAsInt);
    }

    /** The phases of a request whose duration is measured. */
    enum Phase {
        /** From the arrival, or the end of the previous attempt, until a target is chosen. */
        QUEUE,
        /** From the choice of a target until its connection is ready to send the request. */
        CONNECTION,
        /** From the arrival until the response starts. */
        FIRST_PIECE,
        /** From the arrival until the final response is complete. */
        WHOLE
    }

    void started() {
        requests.mark();
        running.inc();
    }

    void finished() {
        running.dec();
    }

    void firstByte(Destination destination, long nanos) {
        firstByte.update(nanos, TimeUnit.NANOSECONDS);
        recordDuration(destination, Phase.FIRST_PIECE, nanos);
    }

    void retried() {
        retries.mark();
    }

    void failed(ErrorCode code) {
        registry.meter("failures." + code.name()).mark();
    }

    void countTokens(Optional<AccountId> account, long tokens) {
        account.ifPresent(id -> registry.meter("accounts." + id + ".tokens").mark(tokens));
    }

    /** Records the duration of a phase in nanoseconds. */
    void recordDuration(Destination destination, Phase phase, long nanos) {
        Label service = service(destination);
        latencies
                .computeIfAbsent(service.value(), added -> new ConcurrentHashMap<>())
                .computeIfAbsent(phase, added -> register(service, added))
                .add(nanos);
    }

    private LatencyHistogram register(Label service, Phase phase) {
        Label part = new Label("phase", phase.name().toLowerCase(Locale.ROOT));
        SeriesName name = new SeriesName("request_seconds", List.of(service, part));
        return registry.register(name.toString(), new LatencyHistogram());
    }

    /** Counts the outcome of a request. */
    void countOutcome(RequestPlan plan, String outcome) {
        Label result = new Label("outcome", outcome);
        count("requests_total", service(plan.destination()), result);
        plan.account().ifPresent(account -> count("account_requests_total", accounts.of(account.value()), result));
    }

    /** Counts the result of an attempt at a target. */
    void countAttempt(TargetId target, String result) {
        count("target_attempts_total", targets.of(target.value()), new Label("result", result));
    }

    /** Counts a request sent to a target that states a request rate. */
    void countLimitedRequest(TargetId target) {
        counter("target_limited_requests_total", List.of(targets.of(target.value())))
                .inc();
    }

    private Label service(Destination destination) {
        return services.of(destination.service().orElse(MODELS));
    }

    private void count(String family, Label first, Label second) {
        counter(family, List.of(first, second)).inc();
    }

    private Counter counter(String family, List<Label> labels) {
        return counters.computeIfAbsent(
                new Series(family, labels), series -> registry.counter(new SeriesName(family, labels).toString()));
    }

    /** Identifies a counter; as a plain key it needs no copies of the labels. */
    private record Series(String family, List<Label> labels) {}
}
