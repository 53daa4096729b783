package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks the spending of one account against its rate and burst in every window. Not thread safe.
 *
 * <p>A charge counts at its time with what was used in the end, or in full while it is not settled. A changed rule may
 * take the given time until it is in force everywhere; the higher of the old and the new value applies meanwhile.
 */
public final class SpendingOracle {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Rounding of the floating-point sums below, in tokens. */
    private static final double TOLERANCE = 1e-3;

    private final long propagationNanos;
    private final List<Limit> limits = new ArrayList<>();
    private final List<Spending> spendings = new ArrayList<>();

    public SpendingOracle(Duration propagation) {
        this.propagationNanos = propagation.toNanos();
    }

    /** Notes a rule that applies from now on. */
    public void limit(long nanos, long tokensPerSecond, long burst) {
        limits.add(new Limit(nanos, tokensPerSecond, burst));
    }

    /** Notes a charge and returns the handle that settles it. */
    public Spending charged(long nanos, long tokens) {
        Spending spending = new Spending(nanos, tokens);
        spendings.add(spending);
        return spending;
    }

    /** Returns the tokens used so far. */
    public long total() {
        return spendings.stream().mapToLong(spending -> spending.tokens).sum();
    }

    /** Returns a window in which more was spent than allowed, if there is one. */
    public Optional<String> violation() {
        long lowestBurst = limits.stream().mapToLong(Limit::burst).min().orElse(0);
        long lowestRate =
                limits.stream().mapToLong(Limit::tokensPerSecond).min().orElse(0);
        for (int first = 0; first < spendings.size(); first++) {
            double spent = 0;
            long start = spendings.get(first).nanos;
            for (int last = first; last < spendings.size(); last++) {
                spent += spendings.get(last).tokens;
                long end = spendings.get(last).nanos;
                if (spent <= lowestBurst + lowestRate * ((end - start) / NANOS_PER_SECOND)) {
                    continue;
                }
                double allowed = burst(start, end) + refill(start, end);
                if (spent > allowed + TOLERANCE) {
                    return Optional.of(
                            String.format("%.0f tokens from %d to %d ns, allowed %.3f", spent, start, end, allowed));
                }
            }
        }
        return Optional.empty();
    }

    private long burst(long start, long end) {
        long highest = 0;
        for (int index = 0; index < limits.size(); index++) {
            if (limits.get(index).nanos <= end && outdatedAt(index) >= start) {
                highest = Math.max(highest, limits.get(index).burst);
            }
        }
        return highest;
    }

    private double refill(long start, long end) {
        List<Long> borders = new ArrayList<>(List.of(start, end));
        for (int index = 0; index < limits.size(); index++) {
            borders.add(limits.get(index).nanos);
            borders.add(outdatedAt(index));
        }
        List<Long> inside = borders.stream()
                .filter(border -> border >= start && border <= end)
                .sorted()
                .toList();
        double tokens = 0;
        for (int index = 1; index < inside.size(); index++) {
            long from = inside.get(index - 1);
            long to = inside.get(index);
            tokens += rate(from, to) * ((to - from) / NANOS_PER_SECOND);
        }
        return tokens;
    }

    private long rate(long from, long to) {
        long highest = 0;
        for (int index = 0; index < limits.size(); index++) {
            if (limits.get(index).nanos <= from && outdatedAt(index) >= to) {
                highest = Math.max(highest, limits.get(index).tokensPerSecond);
            }
        }
        return highest;
    }

    private long outdatedAt(int index) {
        return index + 1 < limits.size() ? limits.get(index + 1).nanos + propagationNanos : Long.MAX_VALUE;
    }

    /** One charge. */
    public static final class Spending {
        private final long nanos;
        private long tokens;

        private Spending(long nanos, long tokens) {
            this.nanos = nanos;
            this.tokens = tokens;
        }

        /** Sets what the request used in the end. */
        public void used(long usedTokens) {
            tokens = usedTokens;
        }
    }

    /** A rule and the time it was accepted. */
    private record Limit(long nanos, long tokensPerSecond, long burst) {}
}
