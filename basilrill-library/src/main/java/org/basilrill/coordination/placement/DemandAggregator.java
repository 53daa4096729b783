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
import org.basilrill.state.configuration.Residency;

/**
 * Aggregates the demand that the instances report. Every replica of the control log aggregates the reports, so that a
 * new leader knows the demand at once. Reports may be lost, repeated or reordered: they carry cumulative totals, and a
 * report older than the latest one is ignored. Thread safe: guarded by its own lock.
 */
public final class DemandAggregator {
    /** Default horizon of the short average. */
    private static final Duration SHORT_HORIZON = Duration.ofSeconds(30);

    /** Default horizon of the long average. */
    private static final Duration LONG_HORIZON = Duration.ofMinutes(10);

    /** Minimum duration of an average; over a shorter one, chance outweighs the demand. */
    private static final double MINIMUM_OBSERVED_NANOS = Duration.ofSeconds(1).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    /** Waiting requests of an instance are dropped after this long without a report; instances report every second. */
    private static final long WAITING_EXPIRY_NANOS = Duration.ofSeconds(5).toNanos();

    /**
     * The totals of an instance are removed after this long without a report, so that departed instances use no memory.
     */
    private static final long INSTANCE_EXPIRY_NANOS = Duration.ofMinutes(15).toNanos();

    /** Demand below this rate in tokens per second counts as zero and is removed. */
    private static final double NEGLIGIBLE_RATE = 1e-3;

    /** A copy that a residency needs is kept for this long, so that occasional requests do not each wait for a load. */
    private static final long RESIDENCY_EXPIRY_NANOS = Duration.ofMinutes(1).toNanos();

    /** Residencies of one model, over all instances; bounds the memory. */
    private static final int MAXIMUM_RESIDENCIES = 16;

    private final MonotonicClock clock;
    private final double shortNanos;
    private final double longNanos;
    private final boolean warmUpCorrected;
    private Optional<Long> firstReportNanos = Optional.empty();
    private final Map<InstanceId, ReporterState> reporters = new TreeMap<>();
    private final Map<ModelId, Averages> averages = new TreeMap<>();
    /** Time of the last report that named the residency, by model. */
    private final Map<ModelId, Map<Residency, Long>> residencies = new TreeMap<>();

    public DemandAggregator(MonotonicClock clock) {
        this(clock, SHORT_HORIZON, LONG_HORIZON, false);
    }

    private DemandAggregator(
            MonotonicClock clock, Duration shortHorizon, Duration longHorizon, boolean warmUpCorrected) {
        this.clock = clock;
        this.shortNanos = shortHorizon.toNanos();
        this.longNanos = longHorizon.toNanos();
        this.warmUpCorrected = warmUpCorrected;
    }

    /**
     * Creates an instance whose averages have the given horizons. While less time than a horizon has been observed, the
     * average covers the observed time only. Otherwise the first seconds show only a fraction of the demand, and a
     * model that is requested then seems unused.
     */
    public static DemandAggregator withWarmUpCorrection(
            MonotonicClock clock, Duration shortHorizon, Duration longHorizon) {
        return new DemandAggregator(clock, shortHorizon, longHorizon, true);
    }

    /**
     * Processes a report.
     *
     * @return whether requests at that instance now wait for a model for which none waited before
     */
    public synchronized boolean received(InstanceId sender, DemandReport report) {
        long now = clock.nanos();
        firstReportNanos = firstReportNanos.or(() -> Optional.of(now));
        ReporterState reporter = reporters.get(sender);
        if (reporter == null || reporter.incarnation != report.incarnation()) {
            if (reporter != null && report.incarnation() < reporter.incarnation) {
                return false;
            }
            reporter = new ReporterState(report.incarnation(), report.sequence() == 1);
            reporters.put(sender, reporter);
        }
        if (report.sequence() <= reporter.sequence) {
            return false;
        }
        reporter.sequence = report.sequence();
        reporter.receivedNanos = now;
        Map<ModelId, Integer> waiting = new TreeMap<>();
        for (ReportedDemand model : report.models()) {
            addTokens(reporter, model, now);
            addResidencies(model, now);
            if (model.waiting() > 0) {
                waiting.put(model.model(), model.waiting());
            }
        }
        boolean newlyWaiting = !reporter.waiting.keySet().containsAll(waiting.keySet());
        reporter.waiting = waiting;
        return newlyWaiting;
    }

    /** Returns the current demand by model; models without demand are absent. */
    public synchronized Map<ModelId, ModelDemand> demand() {
        long now = clock.nanos();
        reporters.values().removeIf(reporter -> now - reporter.receivedNanos > INSTANCE_EXPIRY_NANOS);
        averages.values().removeIf(rates -> rates.isNegligible(now));
        Map<ModelId, ModelDemand> demand = new HashMap<>();
        averages.forEach((model, rates) -> demand.put(model, rates.demandAt(now)));
        for (ReporterState reporter : reporters.values()) {
            if (now - reporter.receivedNanos <= WAITING_EXPIRY_NANOS) {
                reporter.waiting.forEach(
                        (model, requests) -> demand.merge(model, new ModelDemand(0, 0, requests), ModelDemand::plus));
            }
        }
        residencies
                .values()
                .forEach(requested -> requested.values().removeIf(nanos -> now - nanos > RESIDENCY_EXPIRY_NANOS));
        residencies.values().removeIf(Map::isEmpty);
        residencies.forEach((model, requested) ->
                demand.merge(model, new ModelDemand(0, 0, 0, requested.keySet()), ModelDemand::plus));
        return demand;
    }

    /** Returns the models that requests wait for, by instance. */
    public synchronized Map<InstanceId, Collection<ModelId>> waitingModels() {
        long now = clock.nanos();
        Map<InstanceId, Collection<ModelId>> waiting = new TreeMap<>();
        reporters.forEach((instance, reporter) -> {
            if (!reporter.waiting.isEmpty() && now - reporter.receivedNanos <= WAITING_EXPIRY_NANOS) {
                waiting.put(instance, Set.copyOf(new HashSet<>(reporter.waiting.keySet())));
            }
        });
        return waiting;
    }

    /** Returns the factor that converts an average over the whole horizon to one over the observed time. */
    private double warmUpFactor(double horizonNanos, long now) {
        if (!warmUpCorrected) {
            return 1;
        }
        double observed = Math.max(MINIMUM_OBSERVED_NANOS, now - firstReportNanos.orElse(now));
        return 1 / (1 - Math.exp(-observed / horizonNanos));
    }

    /**
     * Adds the increase of a total to the averages. The first total of a process that started earlier is only the
     * baseline.
     */
    private void addTokens(ReporterState reporter, ReportedDemand model, long now) {
        Long previousTotal = reporter.totals.put(model.model(), model.tokens());
        long start = previousTotal == null ? (reporter.sinceStart ? 0 : model.tokens()) : previousTotal;
        long tokens = model.tokens() - start;
        if (tokens > 0) {
            averages.computeIfAbsent(model.model(), absent -> new Averages(now)).add(tokens, now);
        }
    }

    private void addResidencies(ReportedDemand model, long now) {
        for (Residency residency : model.residencies()) {
            Map<Residency, Long> requested = residencies.computeIfAbsent(model.model(), absent -> new HashMap<>());
            if (requested.size() < MAXIMUM_RESIDENCIES || requested.containsKey(residency)) {
                requested.put(residency, now);
            }
        }
    }

    /** Latest report of one process. */
    private static final class ReporterState {
        private final long incarnation;
        private final boolean sinceStart;
        private final Map<ModelId, Long> totals = new HashMap<>();
        private Map<ModelId, Integer> waiting = Map.of();
        private long sequence;
        private long receivedNanos;

        private ReporterState(long incarnation, boolean fromStart) {
            this.incarnation = incarnation;
            this.sinceStart = fromStart;
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

        private ModelDemand demandAt(long now) {
            decay(now);
            double recent = shortRate * warmUpFactor(shortNanos, now);
            return new ModelDemand(recent < NEGLIGIBLE_RATE ? 0 : recent, longRate * warmUpFactor(longNanos, now), 0);
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
