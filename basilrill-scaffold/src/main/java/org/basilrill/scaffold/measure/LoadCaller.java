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
 * Sends requests at a fixed rate from several threads and records the time to the first byte of the answers. A request
 * that starts late because the one before it was slow counts from when it was due. Thread safe.
 */
final class LoadCaller implements AutoCloseable {
    private static final int THREADS = 16;
    private static final int DIGITS = 3;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

    /** Returns a plain service call or, with tokens, a streamed completion; the key is that of the rules. */
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

    /** Sends the request at a rate per second, or as fast as the answers come if the rate is 0. */
    Result run(HttpRequest request, double rate, Duration duration) throws InterruptedException, ExecutionException {
        long begin = System.nanoTime();
        List<Future<Result>> parts = new ArrayList<>();
        for (int thread = 0; thread < THREADS; thread++) {
            long offset = rate == 0 ? 0 : (long) (thread * 1e9 / rate);
            parts.add(threads.submit(() -> runThread(request, rate, begin + offset, begin + duration.toNanos())));
        }
        Histogram all = new Histogram(DIGITS);
        long failed = 0;
        for (Future<Result> part : parts) {
            all.add(part.get().nanos());
            failed += part.get().failed();
        }
        return new Result(all, failed, (System.nanoTime() - begin) / 1e9);
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }

    private Result runThread(HttpRequest request, double rate, long first, long end) throws InterruptedException {
        Histogram nanos = new Histogram(DIGITS);
        long interval = rate == 0 ? 0 : (long) (THREADS * 1e9 / rate);
        long failed = 0;
        for (long due = first; due < end && System.nanoTime() < end; due += interval) {
            long early = due - System.nanoTime();
            long from = due;
            if (rate == 0 || early > 0) {
                LockSupport.parkNanos(early);
                from = System.nanoTime();
            }
            try {
                HttpResponse<InputStream> answer = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
                try (InputStream body = answer.body()) {
                    body.read();
                    nanos.recordValue(System.nanoTime() - from);
                    body.readAllBytes();
                }
                failed += answer.statusCode() == 200 ? 0 : 1;
            } catch (IOException exception) {
                failed++;
            }
        }
        return new Result(nanos, failed, 0);
    }

    /** The latencies, and how many requests failed or were refused. */
    record Result(Histogram nanos, long failed, double seconds) {
        double perSecond() {
            return nanos.getTotalCount() / seconds;
        }
    }
}
