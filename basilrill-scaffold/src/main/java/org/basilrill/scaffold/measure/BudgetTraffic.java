package org.basilrill.scaffold.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.AccountId;
import org.basilrill.state.configuration.Rules;

/** Generates the requests of a measurement from a seed, the same for every system measured. Stateless. */
final class BudgetTraffic {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Smallest and largest charge: a short question, and a long prompt with a long answer. */
    private static final long SMALLEST_CHARGE = 100;

    private static final long LARGEST_CHARGE = 1500;
    private static final long LONGEST_RUN_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** How long a caller keeps the address of an instance. */
    private static final long CACHED_ADDRESS_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Exponent of the Zipf distribution over instances; 1 gives the first of 12 instances about a third. */
    private static final double SKEW = 1.0;

    private BudgetTraffic() {}

    /** Returns the requests of all accounts in order of time. */
    static List<Request> generate(List<Load> loads, int instances, double seconds, long seed) {
        Random random = new Random(seed);
        List<Request> requests = new ArrayList<>();
        for (Load load : loads) {
            double perSecond =
                    load.timesRate * load.account.tokensPerSecond() / ((SMALLEST_CHARGE + LARGEST_CHARGE) / 2.0);
            double at = 0;
            while (at < seconds) {
                at += -Math.log(1 - random.nextDouble()) / perSecond;
                requests.add(request(load, instances, (long) (at * NANOS_PER_SECOND), random));
            }
        }
        requests.sort(Comparator.comparingLong(Request::nanos));
        return requests;
    }

    private static Request request(Load load, int instances, long nanos, Random random) {
        long tokens = SMALLEST_CHARGE + random.nextLong(LARGEST_CHARGE - SMALLEST_CHARGE + 1);
        long used = (long) (tokens * (0.3 + 0.7 * random.nextDouble()));
        long running = 1 + random.nextLong(LONGEST_RUN_NANOS);
        return new Request(nanos, load.account.id(), instance(load, instances, nanos, random), tokens, used, running);
    }

    private static int instance(Load load, int instances, long nanos, Random random) {
        return switch (load.spread) {
            case UNIFORM -> random.nextInt(instances);
            case SKEWED -> zipf(instances, random);
            case ONE_INSTANCE -> Math.floorMod(load.account.id().hashCode(), instances);
            case CACHED_ADDRESS -> new Random(nanos / CACHED_ADDRESS_NANOS).nextInt(instances);
        };
    }

    private static int zipf(int instances, Random random) {
        double total = 0;
        for (int rank = 1; rank <= instances; rank++) {
            total += Math.pow(rank, -SKEW);
        }
        double drawn = random.nextDouble() * total;
        for (int rank = 1; rank < instances; rank++) {
            drawn -= Math.pow(rank, -SKEW);
            if (drawn < 0) {
                return rank - 1;
            }
        }
        return instances - 1;
    }

    /** How the requests of an account are spread over instances. */
    enum Spread {
        UNIFORM,
        SKEWED,
        ONE_INSTANCE,
        CACHED_ADDRESS
    }

    /**
     * Load of one account.
     *
     * @param timesRate charged tokens per second as a multiple of the rate
     */
    record Load(Rules.Account account, double timesRate, Spread spread) {}

    /** One request; it uses part of its charge and ends after running. */
    record Request(long nanos, AccountId account, int instance, long tokens, long usedTokens, long runningNanos) {}
}
