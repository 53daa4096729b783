package org.basilrill.scaffold.measure;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at a fixed rate from several threads and records the time to the first byte of each response. If a
 * slow request delays the next one, the latency of the next one counts from its scheduled time. Thread safe.
 */
final class LoadCaller implements AutoCloseable {
    private static final int THREADS = 16;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService executor = Executors.newFixedThreadPool(THREADS);

    /** Returns a streamed completion request or, if {@code tokens} is 0, a plain service call; uses the account key. */
    static HttpRequest request(String address, String path, int tokens) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(10))
                .header("Authorization", "Bearer " + LocalDeployment.ACCOUNT_KEY);
        if (tokens == 0) {
            return builder.build();
        }
        String body = "{\"model\":\"medal-match\",\"stream\":true,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"match this medal\"}]}";
        return builder.header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /**
     * Sends the request at a rate per second; at rate 0, each thread sends again as soon as its response has arrived.
     */
    Result run(HttpRequest request, double rate, Duration duration) throws InterruptedException, ExecutionException {
        long begin = System.nanoTime();
        List<Future<Result>> threadResults = new ArrayList<>();
        for (int thread = 0; thread < THREADS; thread++) {
            long startOffset = rate == 0 ? 0 : (long) (thread * 1e9 / rate);
            threadResults.add(
                    executor.submit(() -> runThread(request, rate, begin + startOffset, begin + duration.toNanos())));
        }
        Histogram all = new Histogram(SIGNIFICANT_DIGITS);
        long failed = 0;
        for (Future<Result> threadResult : threadResults) {
            all.add(threadResult.get().latenciesNanos());
            failed += threadResult.get().failed();
        }
        return new Result(all, failed, (System.nanoTime() - begin) / 1e9);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private Result runThread(HttpRequest request, double rate, long firstDue, long end) throws InterruptedException {
        Histogram latenciesNanos = new Histogram(SIGNIFICANT_DIGITS);
        long interval = rate == 0 ? 0 : (long) (THREADS * 1e9 / rate);
        long failed = 0;
        for (long due = firstDue; due < end && System.nanoTime() < end; due += interval) {
            long nanosUntilDue = due - System.nanoTime();
            long startNanos = due;
            if (rate == 0 || nanosUntilDue > 0) {
                LockSupport.parkNanos(nanosUntilDue);
                startNanos = System.nanoTime();
            }
            try {
                HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
                try (InputStream body = response.body()) {
                    body.read();
                    latenciesNanos.recordValue(System.nanoTime() - startNanos);
                    body.readAllBytes();
                }
                failed += response.statusCode() == 200 ? 0 : 1;
            } catch (IOException exception) {
                failed++;
            }
        }
        return new Result(latenciesNanos, failed, 0);
    }

    /** The latencies, the number of requests that failed or were refused, and the duration of the run. */
    record Result(Histogram latenciesNanos, long failed, double seconds) {
        double perSecond() {
            return latenciesNanos.getTotalCount() / seconds;
        }
    }
}
