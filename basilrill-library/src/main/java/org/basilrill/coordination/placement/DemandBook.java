package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.placement.PlacementMessage.DemandReport;
import org.basilrill.coordination.placement.PlacementMessage.ReportedDemand;

/**
 * Adds up the demand that the instances report. Every replica keeps one, so that a new leader knows the demand at once.
 * Reports may be lost, repeated or reordered: they carry running totals, and an older one than the last is ignored.
 * Thread safe: guarded by its own lock.
 */
public final class DemandBook {
    /** Horizon of the short average, unless another is asked for. */
    private static final Duration SHORT_HORIZON = Duration.ofSeconds(30);

    /** Horizon of the long average, unless another is asked for. */
    private static final Duration LONG_HORIZON = Duration.ofMinutes(10);
    /** An average over less than this says more about chance than about the demand. */
    private static final double LEAST_OBSERVED_NANOS = Duration.ofSeconds(1).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    /** An instance that reports every second and is silent for this long has no waiting callers any more. */
    private static final long WAITING_EXPIRY_NANOS = Duration.ofSeconds(5).toNanos();

    /** The totals of an instance are forgotten after this long, so that instances that left cost no memory. */
    private static final long INSTANCE_EXPIRY_NANOS = Duration.ofMinutes(15).toNanos();

    /** Below this rate in tokens per second the demand counts as none and is forgotten. */
    private static final double NEGLIGIBLE_RATE = 1e-3;

    private final MonotonicClock clock;
    private final double shortNanos;
    private final double longNanos;
    private final boolean scaled;
    private Optional<Long> firstReportNanos = Optional.empty();
    private final Map<InstanceId, Reporter> reporters = new TreeMap<>();
    private final Map<ModelId, Averages> averages = new TreeMap<>();

    public DemandBook(MonotonicClock clock) {
        this(clock, SHORT_HORIZON, LONG_HORIZON, false);
    }

    private DemandBook(MonotonicClock clock, Duration shortHorizon, Duration longHorizon, boolean scaled) {
        this.clock = clock;
        this.shortNanos = shortHorizon.toNanos();
        this.longNanos = longHorizon.toNanos();
        this.scaled = scaled;
    }

    /**
     * Creates an empty book whose averages have the given horizons, and are those of the time observed while that is
     * shorter: otherwise the first seconds show a fraction of the demand, and a model asked for then seems cold.
     */
    public static DemandBook scaled(MonotonicClock clock, Duration shortHorizon, Duration longHorizon) {
        return new DemandBook(clock, shortHorizon, longHorizon, true);
    }

    /**
     * Takes a report.
     *
     * @return whether callers wait there for a model for which none waited before
     */
    public synchronized boolean received(InstanceId sender, DemandReport report) {
        long now = clock.nanos();
        firstReportNanos = firstReportNanos.or(() -> Optional.of(now));
        Reporter reporter = reporters.get(sender);
        if (reporter == null || reporter.incarnation != report.incarnation()) {
            if (reporter != null && report.incarnation() < reporter.incarnation) {
                return false;
            }
            reporter = new Reporter(report.incarnation(), report.sequence() == 1);
            reporters.put(sender, reporter);
        }
        if (report.sequence() <= reporter.sequence) {
            return false;
        }
        reporter.sequence = report.sequence();
        reporter.seenNanos = now;
        Map<ModelId, Integer> waiting = new TreeMap<>();
        for (ReportedDemand model : report.models()) {
            count(reporter, model, now);
            if (model.waiting() > 0) {
                waiting.put(model.model(), model.waiting());
            }
        }
        boolean more = !reporter.waiting.keySet().containsAll(waiting.keySet());
        reporter.waiting = waiting;
        return more;
    }

    /** Returns the present demand of every model that has some. */
    public synchronized Map<ModelId, ModelDemand> demand() {
        long now = clock.nanos();
        reporters.values().removeIf(reporter -> now - reporter.seenNanos > INSTANCE_EXPIRY_NANOS);
        averages.values().removeIf(rates -> rates.isNegligible(now));
        Map<ModelId, ModelDemand> demand = new HashMap<>();
        averages.forEach((model, rates) -> demand.put(model, rates.at(now)));
        for (Reporter reporter : reporters.values()) {
            if (now - reporter.seenNanos <= WAITING_EXPIRY_NANOS) {
                reporter.waiting.forEach(
                        (model, requests) -> demand.merge(model, new ModelDemand(0, 0, requests), ModelDemand::plus));
            }
        }
        return demand;
    }

    /** Returns the models that callers wait for, by instance. */
    public synchronized Map<InstanceId, Collection<ModelId>> waiting() {
        long now = clock.nanos();
        Map<InstanceId, Collection<ModelId>> waiting = new TreeMap<>();
        reporters.forEach((instance, reporter) -> {
            if (!reporter.waiting.isEmpty() && now - reporter.seenNanos <= WAITING_EXPIRY_NANOS) {
                waiting.put(instance, Set.copyOf(new HashSet<>(reporter.waiting.keySet())));
            }
        });
        return waiting;
    }

    /** Returns what makes an average of the whole horizon one of the time observed so far. */
    private double scale(double horizonNanos, long now) {
        if (!scaled) {
            return 1;
        }
        double observed = Math.max(LEAST_OBSERVED_NANOS, now - firstReportNanos.orElse(now));
        return 1 / (1 - Math.exp(-observed / horizonNanos));
    }

    /** Counts what was added to a total. The first total seen of a reporter that was known before is only noted. */
    private void count(Reporter reporter, ReportedDemand model, long now) {
        Long before = reporter.totals.put(model.model(), model.tokens());
        long start = before == null ? (reporter.fromStart ? 0 : model.tokens()) : before;
        long tokens = model.tokens() - start;
        if (tokens > 0) {
            averages.computeIfAbsent(model.model(), absent -> new Averages(now)).add(tokens, now);
        }
    }

    /** Reports of one process. */
    private static final class Reporter {
        private final long incarnation;
        private final boolean fromStart;
        private final Map<ModelId, Long> totals = new HashMap<>();
        private Map<ModelId, Integer> waiting = Map.of();
        private long sequence;
        private long seenNanos;

        private Reporter(long incarnation, boolean fromStart) {
            this.incarnation = incarnation;
            this.fromStart = fromStart;
        }
    }

    /** Two exponentially decaying averages of one rate. */
    private final class Averages {
        private double shortRate;
        private double longRate;
        private long updatedNanos;

        private Averages(long now) {
            updatedNanos = now;
        }

        private void add(long tokens, long now) {
            decay(now);
            shortRate += tokens * NANOS_PER_SECOND / shortNanos;
            longRate += tokens * NANOS_PER_SECOND / longNanos;
        }

        private ModelDemand at(long now) {
            decay(now);
            double recent = shortRate * scale(shortNanos, now);
            return new ModelDemand(recent < NEGLIGIBLE_RATE ? 0 : recent, longRate * scale(longNanos, now), 0);
        }

        private boolean isNegligible(long now) {
            decay(now);
            return longRate < NEGLIGIBLE_RATE;
        }

        private void decay(long now) {
            long elapsed = now - updatedNanos;
            shortRate *= Math.exp(-elapsed / shortNanos);
            longRate *= Math.exp(-elapsed / longNanos);
            updatedNanos = now;
        }
    }
}
