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
    /** Different services, accounts or targets that have series of their own. */
    private static final int MAXIMUM_VALUES = 64;

    private static final String MODELS = "models";

    private final MetricRegistry registry;
    private final Meter requests;
    private final Counter running;
    private final Timer firstByte;
    private final Meter retries;
    private final Map<SeriesName, LatencyHistogram> latencies = new ConcurrentHashMap<>();
    private final BoundedLabel services = new BoundedLabel("service", MAXIMUM_VALUES);
    private final BoundedLabel accounts = new BoundedLabel("account", MAXIMUM_VALUES);
    private final BoundedLabel targets = new BoundedLabel("target", MAXIMUM_VALUES);

    RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
        requests = registry.meter("requests.started");
        running = registry.counter("requests.running");
        firstByte = registry.timer("requests.first-byte");
        retries = registry.meter("requests.retries");
    }

    /** The parts of a request that are timed. */
    enum Phase {
        /** From the arrival, or the end of the attempt before, until a target is chosen. */
        QUEUE,
        /** From the choice of a target until its connection takes the request. */
        CONNECTION,
        /** From the arrival until the answer begins. */
        FIRST_PIECE,
        /** From the arrival until the final answer is complete. */
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
        timed(destination, Phase.FIRST_PIECE, nanos);
    }

    void retried() {
        retries.mark();
    }

    void failed(ErrorCode code) {
        registry.meter("failures." + code.name()).mark();
    }

    void used(Optional<AccountId> account, long tokens) {
        account.ifPresent(id -> registry.meter("accounts." + id + ".tokens").mark(tokens));
    }

    /** Times a part of a request, in nanoseconds. */
    void timed(Destination destination, Phase phase, long nanos) {
        Label part = new Label("phase", phase.name().toLowerCase(Locale.ROOT));
        SeriesName name = new SeriesName("request_seconds", List.of(service(destination), part));
        latencies
                .computeIfAbsent(name, added -> registry.register(added.toString(), new LatencyHistogram()))
                .add(nanos);
    }

    /** Counts the final answer of a request. */
    void ended(RequestPlan plan, String outcome) {
        Label result = new Label("outcome", outcome);
        count("requests_total", service(plan.destination()), result);
        plan.account().ifPresent(account -> count("account_requests_total", accounts.of(account.value()), result));
    }

    /** Counts the end of an attempt at a target. */
    void attempted(TargetId target, String result) {
        count("target_attempts_total", targets.of(target.value()), new Label("result", result));
    }

    private Label service(Destination destination) {
        return services.of(destination.service().orElse(MODELS));
    }

    private void count(String family, Label first, Label second) {
        registry.counter(new SeriesName(family, List.of(first, second)).toString())
                .inc();
    }
}
