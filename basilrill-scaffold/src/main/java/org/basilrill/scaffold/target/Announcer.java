package org.basilrill.scaffold.target;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

/**
 * Announces a fake target to one instance, and to the next one in the list if that fails. Used by one thread, except
 * for {@link #announceOnce}, which is thread safe.
 */
final class Announcer {
    private static final String PATH = "/v1/targets/announce";
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private final List<String> instances;
    private final Supplier<String> announcement;
    private int next;

    Announcer(List<String> instances, Supplier<String> announcement) {
        this.instances = instances;
        this.announcement = announcement;
    }

    /** Sends one announcement; tries each instance at most once until one accepts it. */
    synchronized void announceOnce() {
        String body = announcement.get();
        for (int attempt = 0; attempt < instances.size(); attempt++) {
            if (send(instances.get(next), body)) {
                return;
            }
            next = (next + 1) % instances.size();
        }
    }

    private boolean send(String instance, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + instance + PATH))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() < 300;
        } catch (IOException exception) {
            return false;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
