package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.basilrill.scaffold.prove.Exchange.Call;

/**
 * Caches the instances that GET /v1/instances lists for callers, for as long as the response is valid. Used by one
 * thread.
 */
final class CachedInstanceList {
    private static final Call LIST = new Call("GET", "/v1/instances", "", "", Optional.empty(), Duration.ofSeconds(2));

    private final LoadClient client;
    private final Random random;
    private final List<String> seeds;
    private List<String> addresses;
    private long validUntilNanos = System.nanoTime();

    CachedInstanceList(LoadClient client, Random random, List<String> seeds) {
        this.client = client;
        this.random = random;
        this.seeds = seeds;
        this.addresses = seeds;
    }

    /** Returns the address of a random listed instance; refreshes an expired list first. */
    String chooseAddress() throws InterruptedException {
        if (System.nanoTime() - validUntilNanos >= 0) {
            refresh();
        }
        return addresses.get(random.nextInt(addresses.size()));
    }

    /** Makes the next use refresh the list. */
    void invalidate() {
        validUntilNanos = System.nanoTime();
    }

    private void refresh() throws InterruptedException {
        List<String> candidates = new ArrayList<>(addresses);
        Collections.shuffle(candidates, random);
        candidates.addAll(seeds);
        for (String address : candidates) {
            // The validity counts from the sending of the request, so that a slow response is not used for too long.
            long sent = System.nanoTime();
            Exchange exchange = client.send(address, LIST);
            if (!exchange.ok()) {
                continue;
            }
            JsonNode response = exchange.json();
            List<String> listed = new ArrayList<>();
            response.path("instances").forEach(entry -> listed.add(entry.asText()));
            if (!listed.isEmpty()) {
                addresses = listed;
                validUntilNanos = sent
                        + TimeUnit.MILLISECONDS.toNanos(
                                response.path("valid_for_ms").asLong());
                return;
            }
        }
        throw new ScenarioFailure("an instance that responds to GET /v1/instances", "none among " + candidates);
    }
}
