package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.basilrill.api.InstanceId;

/**
 * Checks the requests that a target received against the rates that it stated: in any 4 s from 3 s after the first
 * statement, at most one and a half times the rate and five requests, summed over the instances that received a
 * statement half a second before. Not thread safe.
 */
final class RateLimitOracle {
    private static final long WINDOW_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long REACTION_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long INFORMED_NANOS = Duration.ofMillis(500).toNanos();
    private static final double FACTOR = 1.5;
    private static final double SLACK = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final VirtualTarget target;
    private final Predicate<TargetExecution> exempt;
    /** Highest rate in force in the window that ends at a time, as the most permissive reading of the rule. */
    private final TreeMap<Long, Double> rates = new TreeMap<>();

    /**
     * Creates the oracle of one target.
     *
     * @param exempt requests that do not count, because their sender was restarted or isolated shortly before
     */
    RateLimitOracle(VirtualTarget target, Predicate<TargetExecution> exempt) {
        this.target = target;
        this.exempt = exempt;
        for (RateStatement statement : target.statements()) {
            statement.perSecond().ifPresent(rate -> rates.put(statement.nanos(), rate));
        }
    }

    /** Returns the first violation until a time, if there is one. */
    Optional<String> violation(long untilNanos) {
        if (rates.isEmpty()) {
            return Optional.empty();
        }
        Map<InstanceId, Long> informedSince = new HashMap<>();
        target.statements().stream()
                .filter(statement -> statement.perSecond().isPresent())
                .forEach(statement -> informedSince.putIfAbsent(statement.instance(), statement.nanos()));
        long from = rates.firstKey() + REACTION_NANOS;
        List<Long> counted = target.executions().stream()
                .filter(execution -> execution.nanos() >= from && execution.nanos() <= untilNanos)
                .filter(execution -> isInformed(informedSince, execution) && !exempt.test(execution))
                .map(TargetExecution::nanos)
                .toList();
        for (int last = 0, first = 0; last < counted.size(); last++) {
            while (counted.get(last) - counted.get(first) > WINDOW_NANOS) {
                first++;
            }
            int requests = last - first + 1;
            double allowed = FACTOR * highestRate(counted.get(last)) * WINDOW_NANOS / NANOS_PER_SECOND + SLACK;
            if (requests > allowed) {
                return Optional.of(String.format(
                        "%s received %d requests in 4 s until %d ms, allowed %.0f",
                        target.id(), requests, counted.get(last) / 1_000_000, allowed));
            }
        }
        return Optional.empty();
    }

    private static boolean isInformed(Map<InstanceId, Long> informedSince, TargetExecution execution) {
        Long since = informedSince.get(execution.sender());
        return since != null && execution.nanos() - since >= INFORMED_NANOS;
    }

    private double highestRate(long nanos) {
        long start = nanos - WINDOW_NANOS - REACTION_NANOS;
        Map.Entry<Long, Double> before = rates.floorEntry(start);
        double highest = rates.subMap(start, true, nanos, true).values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
        return before == null ? highest : Math.max(highest, before.getValue());
    }
}
