package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.basilrill.coordination.routing.Prompt;

/**
 * The request arrivals of one run, the same for every scheme: five client accounts and 34 models. The two large
 * accounts send bursts; each burst goes to one model and exceeds the capacity of its copies. The three small accounts
 * send at a steady rate. Immutable.
 *
 * @param accounts client accounts with their weights and rates, in the order of the results
 * @param arrivals requests ordered by arrival time
 */
record Workload(List<Account> accounts, List<Arrival> arrivals) {
    static final int MODELS = 34;
    static final Duration DURATION = Duration.ofSeconds(120);

    private static final int PROMPTS_PER_MODEL = 30;
    private static final int BLOCKS_PER_PROMPT = 4;
    private static final double POPULARITY_EXPONENT = 0.7;

    static Workload generate(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Account> accounts = List.of(
                new Account("large-1", 2, 25, 4),
                new Account("large-2", 2, 15, 4),
                new Account("small-1", 1, 12, 1),
                new Account("small-2", 1, 8, 1),
                new Account("small-3", 1, 4, 1));
        List<Arrival> arrivals = new ArrayList<>();
        for (Account account : accounts) {
            addArrivals(account, random, arrivals);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
        return new Workload(accounts, arrivals);
    }

    /**
     * Adds the arrivals of one client account. A burst lasts three seconds, goes to one model and multiplies the
     * account's usual rate; the time between bursts is twelve seconds on average.
     */
    private static void addArrivals(Account account, SplittableRandom random, List<Arrival> arrivals) {
        double now = 0;
        double burstEnd = -1;
        double nextBurst = exponential(random, 12);
        int burstModel = 0;
        double durationSeconds = DURATION.toSeconds();
        while (now < durationSeconds) {
            boolean burst = now < burstEnd;
            now += exponential(random, 1 / (account.requestsPerSecond() * (burst ? account.burstFactor() : 1)));
            if (now >= nextBurst) {
                burstEnd = nextBurst + 3;
                nextBurst = burstEnd + exponential(random, 12);
                burstModel = popularModel(random);
            }
            boolean inBurst = now < burstEnd && !account.isSteady();
            int model = inBurst ? burstModel : popularModel(random);
            long prompt = random.nextInt(PROMPTS_PER_MODEL);
            List<Long> prefixes = LongStream.range(0, BLOCKS_PER_PROMPT)
                    .mapToObj(block -> (model * 1000L + prompt) * BLOCKS_PER_PROMPT + block)
                    .toList();
            int outputTokens = 10 + random.nextInt(50);
            Prompt equalParts = Prompt.ofEqualParts(prefixes, 200 + outputTokens);
            arrivals.add(new Arrival((long) (now * 1e9), account.name(), model, 200, outputTokens, equalParts));
        }
    }

    private static int popularModel(SplittableRandom random) {
        double[] weights = IntStream.rangeClosed(1, MODELS)
                .mapToDouble(rank -> Math.pow(rank, -POPULARITY_EXPONENT))
                .toArray();
        double point = random.nextDouble()
                * IntStream.range(0, MODELS).mapToDouble(rank -> weights[rank]).sum();
        for (int model = 0; model < MODELS; model++) {
            point -= weights[model];
            if (point < 0) {
                return model;
            }
        }
        return MODELS - 1;
    }

    private static double exponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** A client account; during a burst, its rate is {@code requestsPerSecond} times {@code burstFactor}. */
    record Account(String name, int weight, double requestsPerSecond, double burstFactor, Optional<Urgency> urgency) {
        Account(String name, int weight, double requestsPerSecond, double burstFactor) {
            this(name, weight, requestsPerSecond, burstFactor, Optional.empty());
        }

        boolean isSteady() {
            return burstFactor <= 1;
        }
    }

    /**
     * Urgency of the requests of an account.
     *
     * @param firstEvent time until which the first event is due
     * @param deadline time until which the response must have ended
     */
    record Urgency(int priority, Duration firstEvent, Duration deadline) {}

    /** One request with its arrival time and the hashes of the blocks of its prompt. */
    record Arrival(long atNanos, String account, int model, int promptTokens, int outputTokens, Prompt prompt) {
        long tokens() {
            return promptTokens + outputTokens;
        }

        List<Long> prefixHashes() {
            return prompt.prefixHashes();
        }
    }
}
