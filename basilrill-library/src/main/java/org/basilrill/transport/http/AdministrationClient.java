package org.basilrill.transport.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpHost;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.Scheduler;
import org.basilrill.protocol.administration.AdministrationHandler;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;

/** Client of the administration routes of one instance, for command line programs. Blocks. Thread safe. */
public final class AdministrationClient implements AutoCloseable {
    private static final int WINDOW_BYTES = 64 * 1024;

    private final HttpHost host;
    private final String operatorKey;
    private final Duration timeout;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "administration-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final TargetHttpClient client;

    public AdministrationClient(InetSocketAddress address, String operatorKey, Duration timeout) {
        this.operatorKey = operatorKey;
        this.timeout = timeout;
        host = new HttpHost("http", address.getHostString(), address.getPort());
        TargetHttpClient.Settings settings =
                new TargetHttpClient.Settings(1, timeout, Duration.ofSeconds(1), WINDOW_BYTES);
        client = new TargetHttpClient(settings, System::nanoTime, this::schedule);
    }

    /** Sends {@code GET /admin/rules} and returns the response: JSON with {@code revision} and {@code text}. */
    public PlainResponse rules() {
        return exchange("GET", AdministrationHandler.RULES, "");
    }

    /** Replaces the rules if their current revision is the expected one. */
    public PlainResponse replaceRules(long expectedRevision, String text) {
        String path = AdministrationHandler.RULES + "?" + AdministrationHandler.REVISION + "=" + expectedRevision;
        return exchange("PUT", path, text);
    }

    /** Sends {@code GET /admin/status} and returns the response. */
    public PlainResponse status() {
        return exchange("GET", AdministrationHandler.STATUS, "");
    }

    /** Sends {@code GET /admin/accounts} and returns the response. */
    public PlainResponse accounts() {
        return exchange("GET", AdministrationHandler.ACCOUNTS, "");
    }

    /** Sends {@code GET /admin/models} and returns the response. */
    public PlainResponse models() {
        return exchange("GET", AdministrationHandler.MODELS, "");
    }

    /** Accepts the named request, or requests with the named prompt part, again. */
    public PlainResponse releaseSuspect(String suspect) {
        return exchange("DELETE", AdministrationHandler.SUSPECTS, suspect);
    }

    /** Begins the evacuation of a data centre, or ends it. */
    public PlainResponse evacuate(String dataCentre, boolean finish) {
        return exchange(finish ? "DELETE" : "POST", AdministrationHandler.EVACUATIONS + dataCentre, "");
    }

    /** Starts the graceful shutdown of the instance. */
    public PlainResponse drain() {
        return exchange("POST", AdministrationHandler.DRAIN, "");
    }

    @Override
    public void close() {
        client.close();
        timer.shutdownNow();
    }

    /** Sends one request; throws a {@link BasilrillException} if no complete response is received. */
    private PlainResponse exchange(String method, String path, String body) {
        List<HeaderField> headers = List.of(
                new HeaderField(RequestHead.AUTHORIZATION, "Bearer " + operatorKey),
                new HeaderField(ResponseHead.CONTENT_TYPE, PlainResponse.TEXT));
        TargetConnector.Request request =
                new TargetConnector.Request(method, path, headers, body.getBytes(StandardCharsets.UTF_8));
        try {
            return ResponseCollector.sendOnNewConnection(client, this::schedule, host, request, timeout)
                    .join();
        } catch (CompletionException exception) {
            if (exception.getCause() instanceof BasilrillException failure) {
                throw new BasilrillException(
                        failure.code(), "instance at " + host.toHostString() + ": " + failure.getMessage(), failure);
            }
            throw exception;
        }
    }

    private Scheduler.Cancellable schedule(Duration delay, Runnable task) {
        Future<?> scheduled = timer.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }
}
