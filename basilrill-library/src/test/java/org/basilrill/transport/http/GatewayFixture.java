package org.basilrill.transport.http;

import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.caller.LocalRoutes;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.protocol.instance.RequestCoordinator;
import org.basilrill.protocol.instance.RequestLimits;

/** A gateway on loopback in front of {@link RawTarget}s, with all other collaborators in memory. */
final class GatewayFixture implements AutoCloseable {
    static final int WINDOW_BYTES = 16 * 1024;

    static final LocalRoutes NO_ROUTES = (head, body) -> {
        throw new UnsupportedOperationException("this test has no plain routes");
    };

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final FakeServices services = new FakeServices();
    private final TargetHttpClient client;
    private final RequestCoordinator coordinator;
    private final HttpGateway gateway;

    GatewayFixture(Duration progressDeadline, Duration headerWait, LocalRoutes routes) {
        this(progressDeadline, headerWait, routes, 64 * 1024 * 1024);
    }

    GatewayFixture(Duration progressDeadline, Duration headerWait, LocalRoutes routes, long maximumBufferedBytes) {
        this(progressDeadline, headerWait, routes, maximumBufferedBytes, ResponseMemory.forHeap());
    }

    private GatewayFixture(
            Duration progressDeadline,
            Duration headerWait,
            LocalRoutes routes,
            long maximumBufferedBytes,
            ResponseMemory memory) {
        Scheduler scheduler = scheduler(timer);
        Tracer tracer = SdkTracerProvider.builder().build().get("test");
        RequestLimits limits = new RequestLimits(
                Duration.ofSeconds(15),
                Duration.ofSeconds(60),
                progressDeadline,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                WINDOW_BYTES,
                4);
        client = new TargetHttpClient(
                TargetHttpClient.Settings.defaults(WINDOW_BYTES), System::nanoTime, scheduler, memory);
        coordinator = new RequestCoordinator(services.with(client, System::nanoTime, scheduler, tracer, limits));
        GatewaySettings settings = new GatewaySettings(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                2,
                headerWait,
                Duration.ofMinutes(1),
                8 * 1024 * 1024,
                maximumBufferedBytes,
                16 * 1024);
        gateway = new HttpGateway(settings, coordinator, routes, Optional.empty(), System::nanoTime, scheduler);
        gateway.start();
    }

    static GatewayFixture open() {
        return new GatewayFixture(Duration.ofMinutes(1), Duration.ofSeconds(15), NO_ROUTES);
    }

    /** Opens a gateway that counts the bytes of responses in the given memory. */
    static GatewayFixture open(ResponseMemory memory) {
        return new GatewayFixture(Duration.ofMinutes(1), Duration.ofSeconds(15), NO_ROUTES, 64 * 1024 * 1024, memory);
    }

    static Scheduler scheduler(ScheduledExecutorService timer) {
        return (delay, task) -> {
            Future<?> scheduled = timer.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> scheduled.cancel(false);
        };
    }

    void addTarget(RawTarget target) {
        services.targets()
                .add(FakeServices.target("target-" + services.targets().size(), target.port()));
    }

    FakeServices services() {
        return services;
    }

    RequestCoordinator coordinator() {
        return coordinator;
    }

    HttpGateway gateway() {
        return gateway;
    }

    TargetHttpClient client() {
        return client;
    }

    RawHttp connect() throws IOException {
        return new RawHttp(gateway.address().getPort());
    }

    /** Waits until no request is running, so that a test can check that all resources were released. */
    void awaitIdle() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (coordinator.requestsInFlight() > 0 && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        if (coordinator.requestsInFlight() > 0) {
            throw new IllegalStateException("requests are still running");
        }
    }

    @Override
    public void close() {
        gateway.stop(Duration.ZERO).join();
        client.close();
        timer.shutdownNow();
    }
}
