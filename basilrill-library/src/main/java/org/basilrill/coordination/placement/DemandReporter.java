package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.admission.DemandListener;
import org.basilrill.coordination.admission.ReadinessEstimator;
import org.basilrill.coordination.placement.PlacementMessage.DemandReport;
import org.basilrill.coordination.placement.PlacementMessage.ReadinessReport;
import org.basilrill.coordination.placement.PlacementMessage.ReportedDemand;
import org.basilrill.state.configuration.Residency;

/**
 * Reports the demand at this instance to the replicas of the control log, and caches the readiness estimates of the
 * placement controller. Every replica receives every report, so that no demand is lost when the leader changes. Thread
 * safe: guarded by its own lock; starts no thread.
 */
public final class DemandReporter implements DemandListener, ReadinessEstimator {
    /** Interval between reports. */
    static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Delay of the report that is sent when requests begin to wait; collects the models of one burst in one report. */
    static final Duration URGENT_DELAY = Duration.ofMillis(5);

    /** A model is reported for this long after its last request, so that later reports replace lost ones. */
    private static final long REPEAT_NANOS = Duration.ofSeconds(5).toNanos();

    /** Lifetime of an estimate; an older one may come from a controller that is no longer active. */
    private static final long ESTIMATE_EXPIRY_NANOS = Duration.ofSeconds(3).toNanos();

    /**
     * Maximum number of tracked models, as callers may send any name; the least recently requested are removed first.
     */
    private static final int MAXIMUM_MODELS = 4096;

    /** Residencies reported for one model; more are of no use, as each needs a copy of its own. */
    private static final int MAXIMUM_RESIDENCIES = 8;

    private final long incarnation;
    private final Supplier<? extends Collection<InstanceId>> replicas;
    private final PlacementMessenger messenger;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final Map<ModelId, DemandCounter> counters = new TreeMap<>();
    private final Map<ModelId, Estimate> estimates = new TreeMap<>();
    private long sequence;
    private boolean urgentReportScheduled;
    private boolean stopped;

    /**
     * Creates a reporter that sends no report before {@link #start} is called.
     *
     * @param incarnation incarnation of this process; greater than that of its predecessor
     * @param replicas known replicas of the control log
     */
    public DemandReporter(
            long incarnation,
            Supplier<? extends Collection<InstanceId>> replicas,
            PlacementMessenger messenger,
            MonotonicClock clock,
            Scheduler scheduler) {
        this.incarnation = incarnation;
        this.replicas = replicas;
        this.messenger = messenger;
        this.clock = clock;
        this.scheduler = scheduler;
        messenger.onReadiness((sender, report) -> received(report));
    }

    /** Starts reporting. Called once. */
    public void start() {
        scheduler.schedule(INTERVAL, this::tick);
    }

    /** Stops reporting. */
    public synchronized void stop() {
        stopped = true;
    }

    @Override
    public synchronized void requestReceived(ModelId model, long tokens) {
        DemandCounter counter = counter(model);
        counter.tokens += tokens;
        counter.changedNanos = clock.nanos();
    }

    @Override
    public synchronized void requestedWithin(ModelId model, Residency residency) {
        Map<Residency, Long> requested = counter(model).residencies;
        if (requested.size() < MAXIMUM_RESIDENCIES || requested.containsKey(residency)) {
            requested.put(residency, clock.nanos());
        }
    }

    @Override
    public synchronized void queuedWithoutCopy(ModelId model, int requests) {
        DemandCounter counter = counter(model);
        boolean startsWaiting = counter.waiting == 0 && requests > 0;
        counter.waiting = requests;
        counter.changedNanos = clock.nanos();
        if (startsWaiting && !urgentReportScheduled) {
            urgentReportScheduled = true;
            scheduler.schedule(URGENT_DELAY, this::report);
        }
    }

    @Override
    public synchronized Optional<Duration> untilReady(ModelId model) {
        long now = clock.nanos();
        return Optional.ofNullable(estimates.get(model))
                .filter(estimate -> now - estimate.receivedNanos() <= ESTIMATE_EXPIRY_NANOS)
                .map(estimate -> Duration.ofNanos(Math.max(0, estimate.readyNanos() - now)));
    }

    private void tick() {
        try {
            report();
        } finally {
            scheduleTick();
        }
    }

    private synchronized void scheduleTick() {
        if (!stopped) {
            scheduler.schedule(INTERVAL, this::tick);
        }
    }

    private void report() {
        DemandReport report;
        synchronized (this) {
            urgentReportScheduled = false;
            long now = clock.nanos();
            List<ReportedDemand> models = counters.entrySet().stream()
                    .filter(entry ->
                            entry.getValue().waiting > 0 || now - entry.getValue().changedNanos <= REPEAT_NANOS)
                    .map(entry -> new ReportedDemand(
                            entry.getKey(),
                            entry.getValue().tokens,
                            entry.getValue().waiting,
                            entry.getValue().residenciesSince(now - REPEAT_NANOS)))
                    .toList();
            if (stopped || models.isEmpty()) {
                return;
            }
            report = new DemandReport(incarnation, ++sequence, models);
        }
        replicas.get().forEach(replica -> messenger.send(replica, report));
    }

    private synchronized void received(ReadinessReport report) {
        long now = clock.nanos();
        estimates.values().removeIf(estimate -> now - estimate.receivedNanos() > ESTIMATE_EXPIRY_NANOS);
        report.untilReady()
                .forEach((model, duration) -> estimates.put(model, new Estimate(now + duration.toNanos(), now)));
    }

    private DemandCounter counter(ModelId model) {
        if (counters.size() >= MAXIMUM_MODELS && !counters.containsKey(model)) {
            counters.entrySet().stream()
                    .filter(entry -> entry.getValue().waiting == 0)
                    .min(Map.Entry.comparingByValue(
                            (left, right) -> Long.compare(left.changedNanos, right.changedNanos)))
                    .ifPresent(oldest -> counters.remove(oldest.getKey()));
        }
        return counters.computeIfAbsent(model, absent -> new DemandCounter());
    }

    /** Demand for one model since the process started. */
    private static final class DemandCounter {
        private long tokens;
        private int waiting;
        private long changedNanos;
        /** Time of the last request for each residency. */
        private final Map<Residency, Long> residencies = new HashMap<>();

        private Set<Residency> residenciesSince(long nanos) {
            residencies.values().removeIf(requested -> requested - nanos < 0);
            return residencies.keySet();
        }
    }

    /** Estimated time at which a model becomes ready, on the clock of this instance. */
    private record Estimate(long readyNanos, long receivedNanos) {}
}
