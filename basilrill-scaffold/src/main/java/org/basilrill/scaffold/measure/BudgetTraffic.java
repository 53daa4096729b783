package org.basilrill.scaffold.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.AccountId;
import org.basilrill.state.configuration.Rules;

/** Generates the requests of a measurement from a seed; every measured system gets the same ones. Stateless. */
final class BudgetTraffic {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Smallest charge in tokens: a short prompt; the largest is a long prompt with a long completion. */
    private static final long SMALLEST_CHARGE = 100;

    private static final long LARGEST_CHARGE = 1500;
    private static final long LONGEST_RUN_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Duration for which a caller caches the address of an instance. */
    private static final long CACHED_ADDRESS_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Exponent of the Zipf distribution over instances; with 1, the first of 12 instances gets about a third. */
    private static final double ZIPF_EXPONENT = 1.0;

    private BudgetTraffic() {}

    /** Returns the requests of all client accounts, ordered by arrival time. */
    static List<Request> generate(List<Load> loads, int instances, double seconds, long seed) {
        Random random = new Random(seed);
        List<Request> requests = new ArrayList<>();
        for (Load load : loads) {
            double perSecond =
                    load.rateMultiple * load.account.tokensPerSecond() / ((SMALLEST_CHARGE + LARGEST_CHARGE) / 2.0);
            double atSeconds = 0;
            while (atSeconds < seconds) {
                atSeconds += -Math.log(1 - random.nextDouble()) / perSecond;
                requests.add(request(load, instances, (long) (atSeconds * NANOS_PER_SECOND), random));
            }
        }
        requests.sort(Comparator.comparingLong(Request::arrivalNanos));
        return requests;
    }

    private static Request request(Load load, int instances, long arrivalNanos, Random random) {
        long tokens = SMALLEST_CHARGE + random.nextLong(LARGEST_CHARGE - SMALLEST_CHARGE + 1);
        long used = (long) (tokens * (0.3 + 0.7 * random.nextDouble()));
        long runningNanos = 1 + random.nextLong(LONGEST_RUN_NANOS);
        return new Request(
                arrivalNanos,
                load.account.id(),
                instance(load, instances, arrivalNanos, random),
                tokens,
                used,
                runningNanos);
    }

    private static int instance(Load load, int instances, long arrivalNanos, Random random) {
        return switch (load.spread) {
            case UNIFORM -> random.nextInt(instances);
            case SKEWED -> zipf(instances, random);
            case ONE_INSTANCE -> Math.floorMod(load.account.id().hashCode(), instances);
            case CACHED_ADDRESS -> new Random(arrivalNanos / CACHED_ADDRESS_NANOS).nextInt(instances);
        };
    }

    private static int zipf(int instances, Random random) {
        double total = 0;
        for (int rank = 1; rank <= instances; rank++) {
            total += Math.pow(rank, -ZIPF_EXPONENT);
        }
        double point = random.nextDouble() * total;
        for (int rank = 1; rank < instances; rank++) {
            point -= Math.pow(rank, -ZIPF_EXPONENT);
            if (point < 0) {
                return rank - 1;
            }
        }
        return instances - 1;
    }

    /** The distribution of a client account's requests over instances. */
    enum Spread {
        UNIFORM,
        SKEWED,
        ONE_INSTANCE,
        CACHED_ADDRESS
    }

    /**
     * The load of one client account.
     *
     * @param rateMultiple charged tokens per second as a multiple of the account's rate
     */
    record Load(Rules.Account account, double rateMultiple, Spread spread) {}

    /** One request; it uses {@code usedTokens} of its charged {@code tokens} and ends after {@code runningNanos}. */
    record Request(
            long arrivalNanos, AccountId account, int instance, long tokens, long usedTokens, long runningNanos) {}
}
