package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

/**
 * Tells the replicas of the control log the demand at this instance, and keeps the estimates of the placement
 * controller. Every replica gets every report, so that a change of the leader loses no demand. Thread safe: guarded by
 * its own lock; starts no thread.
 */
public final class DemandReporter implements DemandListener, ReadinessEstimator {
    /** Interval of the reports. */
    static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Delay of a report that callers begin to wait; gathers the models of one burst in one report. */
    static final Duration URGENT_DELAY = Duration.ofMillis(5);

    /** A model is reported for this long after its last request, so that lost reports are made up for. */
    private static final long REPEAT_NANOS = Duration.ofSeconds(5).toNanos();

    /** An estimate that is not renewed for this long may come from a controller that is gone. */
    private static final long ESTIMATE_EXPIRY_NANOS = Duration.ofSeconds(3).toNanos();

    /** Bounds the models kept, as callers may name any; the least recently requested are dropped first. */
    private static final int MAXIMUM_MODELS = 4096;

    private final long incarnation;
    private final Supplier<? extends Collection<InstanceId>> replicas;
    private final PlacementMessenger messenger;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final Map<ModelId, Count> counts = new TreeMap<>();
    private final Map<ModelId, Estimate> estimates = new TreeMap<>();
    private long sequence;
    private boolean urgent;
    private boolean stopped;

    /**
     * Creates a reporter that sends nothing before {@link #start}.
     *
     * @param incarnation number of this process; greater than that of the process before it
     * @param replicas the replicas of the control log, as far as known
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

    /** Begins to report. Called once. */
    public void start() {
        scheduler.schedule(INTERVAL, this::tick);
    }

    /** Stops reporting. */
    public synchronized void stop() {
        stopped = true;
    }

    @Override
    public synchronized void requested(ModelId model, long tokens) {
        Count count = count(model);
        count.tokens += tokens;
        count.changedNanos = clock.nanos();
    }

    @Override
    public synchronized void waitingForCopy(ModelId model, int requests) {
        Count count = count(model);
        boolean begins = count.waiting == 0 && requests > 0;
        count.waiting = requests;
        count.changedNanos = clock.nanos();
        if (begins && !urgent) {
            urgent = true;
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
        report();
        synchronized (this) {
            if (!stopped) {
                scheduler.schedule(INTERVAL, this::tick);
            }
        }
    }

    private void report() {
        DemandReport report;
        synchronized (this) {
            urgent = false;
            long now = clock.nanos();
            List<ReportedDemand> models = counts.entrySet().stream()
                    .filter(entry ->
                            entry.getValue().waiting > 0 || now - entry.getValue().changedNanos <= REPEAT_NANOS)
                    .map(entry -> new ReportedDemand(entry.getKey(), entry.getValue().tokens, entry.getValue().waiting))
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

    private Count count(ModelId model) {
        if (counts.size() >= MAXIMUM_MODELS && !counts.containsKey(model)) {
            counts.entrySet().stream()
                    .filter(entry -> entry.getValue().waiting == 0)
                    .min(Map.Entry.comparingByValue(
                            (left, right) -> Long.compare(left.changedNanos, right.changedNanos)))
                    .ifPresent(oldest -> counts.remove(oldest.getKey()));
        }
        return counts.computeIfAbsent(model, absent -> new Count());
    }

    /** Demand for one model since the start. */
    private static final class Count {
        private long tokens;
        private int waiting;
        private long changedNanos;
    }

    /** When a model will be ready, on the clock of this instance. */
    private record Estimate(long readyNanos, long receivedNanos) {}
}
