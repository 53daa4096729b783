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
 * Knows which instances a caller may use, as GET /v1/instances says, for as long as the answer is valid. Used by one
 * thread.
 */
final class InstanceFollower {
    private static final Call LIST = new Call("GET", "/v1/instances", "", "", Optional.empty(), Duration.ofSeconds(2));

    private final LoadClient client;
    private final Random random;
    private final List<String> seeds;
    private List<String> addresses;
    private long validUntilNanos = System.nanoTime();

    InstanceFollower(LoadClient client, Random random, List<String> seeds) {
        this.client = client;
        this.random = random;
        this.seeds = seeds;
        this.addresses = seeds;
    }

    /** Returns an instance to use now. */
    String next() throws InterruptedException {
        if (System.nanoTime() - validUntilNanos >= 0) {
            refresh();
        }
        return addresses.get(random.nextInt(addresses.size()));
    }

    /** Asks again before the next use. */
    void invalidate() {
        validUntilNanos = System.nanoTime();
    }

    private void refresh() throws InterruptedException {
        List<String> asked = new ArrayList<>(addresses);
        Collections.shuffle(asked, random);
        asked.addAll(seeds);
        for (String address : asked) {
            // The validity counts from when the request was sent, so that a slow answer is not used for too long.
            long sent = System.nanoTime();
            Exchange exchange = client.send(address, LIST);
            if (!exchange.ok()) {
                continue;
            }
            JsonNode answer = exchange.json();
            List<String> listed = new ArrayList<>();
            answer.path("instances").forEach(entry -> listed.add(entry.asText()));
            if (!listed.isEmpty()) {
                addresses = listed;
                validUntilNanos = sent
                        + TimeUnit.MILLISECONDS.toNanos(
                                answer.path("valid_for_ms").asLong());
                return;
            }
        }
        throw new ProofFailure("an instance that answers GET /v1/instances", "none among " + asked);
    }
}
