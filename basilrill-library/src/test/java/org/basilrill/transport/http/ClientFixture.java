package org.basilrill.transport.http;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.target.TargetConnector;

/** A client on loopback in front of a target that sends given bytes and closes the connection. Not thread safe. */
final class ClientFixture implements AutoCloseable {
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Scheduler scheduler = GatewayFixture.scheduler(timer);
    private final TargetHttpClient client = new TargetHttpClient(
            TargetHttpClient.Settings.defaults(GatewayFixture.WINDOW_BYTES), System::nanoTime, scheduler);

    /** Sends each character of the response as one byte, either all at once or one after the other. */
    static RawTarget target(AtomicReference<String> response, boolean byteByByte) throws IOException {
        return new RawTarget(exchange -> {
            if (byteByByte) {
                for (char next : response.get().toCharArray()) {
                    exchange.sendBytes(String.valueOf(next));
                }
            } else {
                exchange.sendBytes(response.get());
            }
            exchange.socket().close();
        });
    }

    static RawTarget target(String response) throws IOException {
        return target(new AtomicReference<>(response), false);
    }

    TargetHttpClient client() {
        return client;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    RelayFixture.Response send(RawTarget target, ConnectionPurpose purpose) throws InterruptedException {
        return send(target, purpose, new byte[0]);
    }

    /** Sends a request and waits for its end. */
    RelayFixture.Response send(RawTarget target, ConnectionPurpose purpose, byte[] body) throws InterruptedException {
        RelayFixture.Response received = new RelayFixture.Response();
        TargetConnector.Request request = new TargetConnector.Request("POST", "/", List.of(), body);
        client.open(new HttpHost("http", "127.0.0.1", target.port()), purpose, request, received);
        received.awaitEnd();
        return received;
    }

    @Override
    public void close() {
        client.close();
        timer.shutdownNow();
    }
}
