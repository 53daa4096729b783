package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.basilrill.protocol.caller.LocalRoutes;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.observation.MetricsRoute;
import org.junit.jupiter.api.Test;

/** Tests which routes an instance serves at which of its addresses. */
class GatewayAddressesTest {
    private static final String CALLER_PATH = "/v1/completions";
    private static final LocalRoutes LOCAL_ROUTES = (head, body) -> CompletableFuture.completedFuture(
            PlainResponse.of(200, PlainResponse.TEXT, "plain".getBytes(StandardCharsets.UTF_8)));

    /** Guards against metrics that are missing at their own address, and against requests to targets through it. */
    @Test
    void theMetricsAddressServesMetricsAndRoutesNoRequestsToTargets() throws Exception {
        InetSocketAddress metricsAddress = freeAddress();
        MetricRegistry metrics = new MetricRegistry();
        metrics.counter("requests.running").inc(3);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (GatewayFixture fixture = GatewayFixture.open()) {
            HttpGateway gateway = new HttpGateway(
                    GatewaySettings.defaults(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                            .withOwnAddresses(List.of(), Optional.of(metricsAddress)),
                    fixture.coordinator(),
                    new MetricsRoute(metrics, LOCAL_ROUTES),
                    Optional.empty(),
                    System::nanoTime,
                    GatewayFixture.scheduler(timer));
            gateway.start();
            HttpResponse<String> text = get(metricsAddress, MetricsRoute.PATH);
            assertThat(text.statusCode(), is(200));
            assertThat(text.body(), containsString("basilrill_requests_running 3\n"));
            assertThat(get(metricsAddress, CALLER_PATH).body(), is("plain"));
            assertThat(get(gateway.address(), "/readyz").body(), is("plain"));
            assertThat("requires a key", get(gateway.address(), CALLER_PATH).statusCode(), is(401));
            gateway.stop(Duration.ZERO).join();
        } finally {
            timer.shutdownNow();
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private static HttpResponse<String> get(InetSocketAddress address, String path)
            throws IOException, InterruptedException {
        URI target = URI.create("http://127.0.0.1:" + address.getPort() + path);
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(target)
                                .version(HttpClient.Version.HTTP_1_1)
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }
}
