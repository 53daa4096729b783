package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * The arrivals of one run, the same for every scheme: five client accounts on 34 models. Two large accounts send bursts
 * to one model at a time, more than its copies can serve at once; the three others send steadily. Immutable.
 *
 * @param accounts names with weights, in order
 * @param arrivals ordered by time
 */
record Workload(List<Account> accounts, List<Arrival> arrivals) {
    static final int MODELS = 34;
    static final Duration LENGTH = Duration.ofSeconds(120);

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

    /** Bursts of three seconds begin on average every twelve, at a multiple of the usual rate and on one model. */
    private static void addArrivals(Account account, SplittableRandom random, List<Arrival> arrivals) {
        double now = 0;
        double burstEnd = -1;
        double nextBurst = exponential(random, 12);
        int burstModel = 0;
        double length = LENGTH.toSeconds();
        while (now < length) {
            boolean burst = now < burstEnd;
            now += exponential(random, 1 / (account.perSecond() * (burst ? account.burstFactor() : 1)));
            if (now >= nextBurst) {
                burstEnd = nextBurst + 3;
                nextBurst = burstEnd + exponential(random, 12);
                burstModel = popularModel(random);
            }
            boolean ofBurst = now < burstEnd && !account.isSteady();
            int model = ofBurst ? burstModel : popularModel(random);
            long prompt = random.nextInt(PROMPTS_PER_MODEL);
            List<Long> prefixes = LongStream.range(0, BLOCKS_PER_PROMPT)
                    .mapToObj(block -> (model * 1000L + prompt) * BLOCKS_PER_PROMPT + block)
                    .toList();
            int outputTokens = 10 + random.nextInt(50);
            arrivals.add(new Arrival((long) (now * 1e9), account.name(), model, 200, outputTokens, prefixes));
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

    /** A client account; its rate while bursting is the usual one times the factor. */
    record Account(String name, int weight, double perSecond, double burstFactor) {
        boolean isSteady() {
            return burstFactor <= 1;
        }
    }

    /** One request. */
    record Arrival(
            long atNanos, String account, int model, int promptTokens, int outputTokens, List<Long> prefixHashes) {
        long tokens() {
            return promptTokens + outputTokens;
        }
    }
}
