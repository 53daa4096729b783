package org.basilrill.scaffold.prove;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.basilrill.scaffold.prove.Exchange.Call;

/** Sends each request once and records it with its response. Thread safe. */
final class LoadClient {
    /** Failure of a request whose response did not end in time. */
    static final String NO_RESPONSE = "no response in time";
    /** Time after the deadline at which the client stops waiting for the response. */
    private static final Duration RESPONSE_GRACE = Duration.ofSeconds(10);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final Queue<Exchange> history = new ConcurrentLinkedQueue<>();

    /** Sends a request and waits for the end of its response. */
    Exchange send(String address, Call call) throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + call.path()))
                .method(call.method(), HttpRequest.BodyPublishers.ofString(call.body()))
                .header("Content-Type", "application/json")
                .header("X-Request-Timeout-Ms", Long.toString(call.deadline().toMillis()));
        if (!call.key().isEmpty()) {
            request.header("Authorization", "Bearer " + call.key());
        }
        call.idempotencyKey().ifPresent(key -> request.header("Idempotency-Key", key));
        long sent = System.nanoTime();
        CompletableFuture<HttpResponse<String>> future =
                client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
        Exchange exchange;
        try {
            HttpResponse<String> response =
                    future.get(call.deadline().plus(RESPONSE_GRACE).toMillis(), TimeUnit.MILLISECONDS);
            exchange = new Exchange(call, address, sent, System.nanoTime(), response.statusCode(), response.body(), "");
        } catch (TimeoutException exception) {
            future.cancel(true);
            exchange = new Exchange(call, address, sent, System.nanoTime(), 0, "", NO_RESPONSE);
        } catch (ExecutionException exception) {
            String failure = exception.getCause() instanceof IOException problem
                    ? problem.toString()
                    : String.valueOf(exception.getCause());
            exchange = new Exchange(call, address, sent, System.nanoTime(), 0, "", failure);
        }
        history.add(exchange);
        return exchange;
    }

    /** Returns the exchanges that have ended, in the order in which they ended. */
    List<Exchange> history() {
        return List.copyOf(history);
    }
}
