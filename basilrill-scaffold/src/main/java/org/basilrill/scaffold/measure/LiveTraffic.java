package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.basilrill.coordination.routing.Prompt;
import org.basilrill.scaffold.measure.Workload.Account;
import org.basilrill.scaffold.measure.Workload.Arrival;
import org.basilrill.scaffold.measure.Workload.Urgency;

/**
 * Requests of one kind to the engines of one service, which arrive independently of each other. Immutable.
 *
 * @param perSecond requests in a second, outside a burst
 * @param sharedTokens tokens at the beginning of a prompt that it shares with others
 * @param ownTokens tokens of the prompt that it shares with no other
 * @param outputTokens mean number of tokens of the output
 * @param burst time during which {@code burstFactor} times as many requests arrive
 */
record LiveTraffic(
        String name,
        Urgency urgency,
        double perSecond,
        int sharedTokens,
        int ownTokens,
        int outputTokens,
        Optional<Burst> burst) {
    private static final int SHARED_PREFIXES = 20;

    /** Live requests with a long prompt of which most is shared. */
    static LiveTraffic live(double perSecond) {
        Urgency urgency = new Urgency(2, Duration.ofMillis(500), Duration.ofSeconds(8));
        return new LiveTraffic("live", urgency, perSecond, 6_300, 2_890, 60, Optional.empty());
    }

    /** Requests with the same prompt that are due within seconds. */
    static LiveTraffic batch(double perSecond) {
        Urgency urgency = new Urgency(2, Duration.ofSeconds(8), Duration.ofSeconds(25));
        return new LiveTraffic("batch", urgency, perSecond, 6_300, 2_890, 200, Optional.empty());
    }

    LiveTraffic withBurst(double startSeconds, double endSeconds, double factor) {
        Burst added = new Burst(startSeconds, endSeconds, factor);
        return new LiveTraffic(name, urgency, perSecond, sharedTokens, ownTokens, outputTokens, Optional.of(added));
    }

    LiveTraffic withPrompt(int shared, int own) {
        return new LiveTraffic(name, urgency, perSecond, shared, own, outputTokens, burst);
    }

    /** Returns the arrivals of all kinds of requests within a time. */
    static Workload generate(long seed, Duration duration, LiveTraffic... kinds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Account> accounts = new ArrayList<>();
        List<Arrival> arrivals = new ArrayList<>();
        for (LiveTraffic kind : kinds) {
            accounts.add(new Account(kind.name, 1, kind.perSecond, 1, Optional.of(kind.urgency)));
            kind.addArrivals(random, duration.toNanos() / 1e9, arrivals);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
        return new Workload(accounts, arrivals);
    }

    private void addArrivals(SplittableRandom random, double seconds, List<Arrival> arrivals) {
        double now = 0;
        while (true) {
            now += -Math.log(1 - random.nextDouble()) / rateAt(now);
            if (now >= seconds) {
                return;
            }
            long shared = random.nextInt(SHARED_PREFIXES) + 1L;
            long own = random.nextLong();
            Prompt prompt = sharedTokens == 0
                    ? new Prompt(List.of(own), List.of((long) ownTokens))
                    : new Prompt(List.of(shared, own), List.of((long) sharedTokens, (long) ownTokens));
            int output = outputTokens / 2 + random.nextInt(outputTokens);
            arrivals.add(new Arrival((long) (now * 1e9), name, 0, sharedTokens + ownTokens, output, prompt));
        }
    }

    private double rateAt(double seconds) {
        return perSecond
                * burst.filter(present -> present.contains(seconds))
                        .map(Burst::factor)
                        .orElse(1.0);
    }

    /** A time with more requests. */
    record Burst(double startSeconds, double endSeconds, double factor) {
        boolean contains(double seconds) {
            return seconds >= startSeconds && seconds < endSeconds;
        }
    }
}
