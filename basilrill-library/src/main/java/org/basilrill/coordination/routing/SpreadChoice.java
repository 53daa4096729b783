package org.basilrill.coordination.routing;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Chooses among candidates with known costs so that instances that see the same costs at the same time do not all
 * choose the same candidate. The requests that all of them are about to send are imagined to be poured over the
 * candidates, the cheapest first, as water is over ground: each candidate is chosen with the probability of the share
 * that it gets. A single instance chooses the cheapest, or one within the tolerance of it. Stateless.
 */
final class SpreadChoice {
    private SpreadChoice() {}

    /**
     * Returns the index of the chosen candidate.
     *
     * @param costs cost of each candidate in milliseconds; at least one
     * @param toleranceMillis difference that is not significant
     * @param pouredMillis cost of all the requests that are about to be sent, in milliseconds
     */
    static int choose(double[] costs, double toleranceMillis, double pouredMillis, RandomGenerator random) {
        double level = Math.max(level(costs, pouredMillis), lowest(costs) + toleranceMillis);
        double total = 0;
        for (double cost : costs) {
            total += Math.max(0, level - cost);
        }
        double point = random.nextDouble() * total;
        int last = 0;
        for (int index = 0; index < costs.length; index++) {
            if (costs[index] < level) {
                last = index;
                point -= level - costs[index];
                if (point < 0) {
                    return index;
                }
            }
        }
        return last;
    }

    private static double lowest(double[] costs) {
        double lowest = costs[0];
        for (double cost : costs) {
            lowest = Math.min(lowest, cost);
        }
        return lowest;
    }

    /** Returns the level up to which the poured amount fills the candidates. */
    private static double level(double[] costs, double poured) {
        double[] sorted = costs.clone();
        Arrays.sort(sorted);
        double sum = 0;
        for (int count = 1; count < sorted.length; count++) {
            sum += sorted[count - 1];
            double level = (poured + sum) / count;
            if (level <= sorted[count]) {
                return level;
            }
        }
        return (poured + sum + sorted[sorted.length - 1]) / sorted.length;
    }
}
