package org.basilrill.protocol.instance;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.trace.Tracer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.crash.SuspectGuard;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.RunningRequest;
import org.basilrill.protocol.dialect.CallerDialect;

/** A coordinator with in-memory fakes of its dependencies. Not thread safe. */
final class CoordinatorFixture {
    static final int WINDOW_BYTES = 1000;
    static final String COMPLETION = "{\"model\":\"medal-match\",\"stream\":true,\"max_tokens\":40,\"prompt\":\"hi\"}";

    private final FakeServices services = new FakeServices();
    private final FakeConnector connector = new FakeConnector();
    private final VirtualTime time = new VirtualTime();
    private final SuspectGuard guard;
    private final RequestCoordinator coordinator;

    CoordinatorFixture(int targets) {
        this(targets, OpenTelemetry.noop().getTracer("test"));
    }

    CoordinatorFixture(int targets, Tracer tracer) {
        this(targets, tracer, Optional.empty());
    }

    CoordinatorFixture(int targets, Tracer tracer, Optional<CallerDialect> dialect) {
        RequestLimits limits = new RequestLimits(
                Duration.ofSeconds(30),
                Duration.ofMinutes(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(1),
                WINDOW_BYTES,
                4);
        RequestServices dependencies = services.with(connector, time, time, tracer, limits, dialect);
        guard = dependencies.suspects();
        coordinator = new RequestCoordinator(dependencies);
        for (int number = 1; number <= targets; number++) {
            services.targets().add(FakeServices.target("target-" + number, 9000 + number));
        }
    }

    static RequestHead head(String method, String path, String... fields) {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(new HeaderField("Authorization", "Bearer " + FakeServices.KEY));
        for (int index = 0; index < fields.length; index += 2) {
            headers.add(new HeaderField(fields[index], fields[index + 1]));
        }
        return new RequestHead(method, path, Optional.empty(), headers);
    }

    /** Starts a streaming completion. */
    Started complete(String... fields) {
        return start(head("POST", "/v1/completions", fields), COMPLETION);
    }

    /** Starts an order at the ledger service. */
    Started order(String idempotencyKey) {
        return start(head("POST", "/v1/services/ledger/orders", "Idempotency-Key", idempotencyKey), "{\"pump\":4}");
    }

    Started start(RequestHead head, String body) {
        RecordingStream stream = new RecordingStream();
        RunningRequest running = coordinator.start(head, body.getBytes(StandardCharsets.UTF_8), stream);
        return new Started(running, stream);
    }

    SuspectGuard guard() {
        return guard;
    }

    FakeServices services() {
        return services;
    }

    FakeControl control() {
        return services.control();
    }

    FakeConnector connector() {
        return connector;
    }

    VirtualTime time() {
        return time;
    }

    RequestCoordinator coordinator() {
        return coordinator;
    }

    /** Returns whether all charges are settled, all assignments released, all requests closed and no timer is left. */
    boolean allResourcesReleased() {
        return services.openCharges() == 0
                && services.openAssignments() == 0
                && coordinator.requestsInFlight() == 0
                && time.scheduled() == 0;
    }

    /** A request and its response. */
    record Started(RunningRequest running, RecordingStream stream) {}
}
