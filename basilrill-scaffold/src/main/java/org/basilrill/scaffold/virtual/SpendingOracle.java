package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks that the tokens charged to one account stay within its rate and burst in every time window. Not thread safe.
 *
 * <p>A charge counts at the time it was made: in full until it is settled, then with the tokens actually used. A
 * changed rule may take the given propagation time until it is in force on all instances; until then the higher of the
 * old and the new value applies.
 */
public final class SpendingOracle {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Allows for rounding errors of the floating-point sums below, in tokens. */
    private static final double ROUNDING_TOLERANCE = 1e-3;

    private final long propagationNanos;
    private final List<Limit> limits = new ArrayList<>();
    private final List<Spending> spendings = new ArrayList<>();

    public SpendingOracle(Duration propagation) {
        this.propagationNanos = propagation.toNanos();
    }

    /** Records a rule that applies from the given time on. */
    public void limit(long nanos, long tokensPerSecond, long burst) {
        limits.add(new Limit(nanos, tokensPerSecond, burst));
    }

    /** Records a charge and returns the handle that settles it. */
    public Spending charged(long nanos, long tokens) {
        Spending spending = new Spending(nanos, tokens);
        spendings.add(spending);
        return spending;
    }

    /** Returns the sum of all charges, with settled ones counted as used. */
    public long total() {
        return spendings.stream().mapToLong(spending -> spending.tokens).sum();
    }

    /** Returns the first window found in which more tokens were charged than allowed, if there is one. */
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
                double allowed = highestBurst(start, end) + refilledTokens(start, end);
                if (spent > allowed + ROUNDING_TOLERANCE) {
                    return Optional.of(
                            String.format("%.0f tokens from %d to %d ns, allowed %.3f", spent, start, end, allowed));
                }
            }
        }
        return Optional.empty();
    }

    private long highestBurst(long start, long end) {
        long highest = 0;
        for (int index = 0; index < limits.size(); index++) {
            if (limits.get(index).nanos <= end && endOfValidity(index) >= start) {
                highest = Math.max(highest, limits.get(index).burst);
            }
        }
        return highest;
    }

    private double refilledTokens(long start, long end) {
        List<Long> boundaries = new ArrayList<>(List.of(start, end));
        for (int index = 0; index < limits.size(); index++) {
            boundaries.add(limits.get(index).nanos);
            boundaries.add(endOfValidity(index));
        }
        List<Long> boundariesInWindow = boundaries.stream()
                .filter(boundary -> boundary >= start && boundary <= end)
                .sorted()
                .toList();
        double tokens = 0;
        for (int index = 1; index < boundariesInWindow.size(); index++) {
            long from = boundariesInWindow.get(index - 1);
            long to = boundariesInWindow.get(index);
            tokens += highestRate(from, to) * ((to - from) / NANOS_PER_SECOND);
        }
        return tokens;
    }

    private long highestRate(long from, long to) {
        long highest = 0;
        for (int index = 0; index < limits.size(); index++) {
            if (limits.get(index).nanos <= from && endOfValidity(index) >= to) {
                highest = Math.max(highest, limits.get(index).tokensPerSecond);
            }
        }
        return highest;
    }

    private long endOfValidity(int index) {
        return index + 1 < limits.size() ? limits.get(index + 1).nanos + propagationNanos : Long.MAX_VALUE;
    }

    /** One charge of tokens. */
    public static final class Spending {
        private final long nanos;
        private long tokens;

        private Spending(long nanos, long tokens) {
            this.nanos = nanos;
            this.tokens = tokens;
        }

        /** Settles the charge with the number of tokens that the request used. */
        public void used(long usedTokens) {
            tokens = usedTokens;
        }
    }

    /** The rate and burst of a rule, and the time from which they apply. */
    private record Limit(long nanos, long tokensPerSecond, long burst) {}
}
